"""Benchmarks of placement decisions, request relay and control cost."""
