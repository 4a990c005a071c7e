"""A serving system for language models and record services on reclaimable instances."""

__version__ = "0.1.0"
