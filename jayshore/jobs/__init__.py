"""Jobs: the durable record and the transitions that it allows."""
