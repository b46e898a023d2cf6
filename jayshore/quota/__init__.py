"""Team limits across failure domains: stored grants and use per domain."""
