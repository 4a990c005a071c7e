"""The core of a daemon: tasks that own their state and talk by messages."""
