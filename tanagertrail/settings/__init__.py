"""Settings of the daemon: INI files, checked as a whole at start."""

from tanagertrail.settings.schema import DaemonSettings, parse_settings, read_settings

__all__ = ["DaemonSettings", "parse_settings", "read_settings"]
