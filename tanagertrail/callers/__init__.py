"""Callers: the HTTP port on which requests come in."""
