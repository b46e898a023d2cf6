"""Placement of tasks on workers: policies, indexes, estimates and health."""
