"""Operators: their HTTP port, its client, whole actions and the command line."""
