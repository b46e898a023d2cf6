"""Tests that start daemons and stand-ins as separate processes."""
