"""Leases: leadership of a failure domain, and fenced leases at upstreams."""
