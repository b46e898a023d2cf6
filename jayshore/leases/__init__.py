"""Leases: leadership of a failure domain, and fencing at upstreams."""
