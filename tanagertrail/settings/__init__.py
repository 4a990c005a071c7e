"""Schemas of the INI settings files, which are validated as a whole at startup."""
