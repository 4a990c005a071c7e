"""Settings: INI files, checked as a whole at start."""
