"""Simulated platform services for tests and the demonstration only."""
