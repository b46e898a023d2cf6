"""Scheduling of a whole deployment by one elected leader."""
