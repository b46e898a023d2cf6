"""The path of a request from a daemon to a slot of an executor."""
