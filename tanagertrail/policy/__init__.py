"""Decision logic without I/O or waiting."""
