"""Emulator of model engines under load, on virtual time."""
