"""Service-level burn: how fast teams use up their error budgets."""
