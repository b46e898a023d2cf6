"""Evidence that a daemon's configuration version is the newest one."""
