"""Measurements of the decisions and of the control cost."""
