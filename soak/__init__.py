"""A randomized soak: real processes, injected faults, checked guarantees."""
