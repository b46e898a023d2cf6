"""The `jayshore` command."""
