"""The daemon: settings, HTTP interface, wiring and graceful shutdown."""
