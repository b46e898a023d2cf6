"""Reports: burn rates of error budgets, and the timeline of a job."""
