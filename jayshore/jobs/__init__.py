"""Jobs: durable records, and the leader that schedules and runs them."""
