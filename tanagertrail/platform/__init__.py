"""Adapter to the platform's names, document formats and APIs; it contains no policy."""
