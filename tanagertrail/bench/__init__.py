"""Bench commands: loads, experiments, tables and plots."""
