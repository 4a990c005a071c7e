"""A time line of events over all processes, merged in causal order."""
