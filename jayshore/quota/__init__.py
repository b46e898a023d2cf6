"""Team limits across the fleet: the grants and what each domain uses."""
