"""A timeline of the events of all processes, merged in causal order."""
