"""Demonstration of the scheduler, with stand-ins as separate processes."""
