"""The HTTP port that accepts requests from callers."""
