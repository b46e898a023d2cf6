"""Evidence that the configuration held by a daemon is the newest one."""
