"""The core of a daemon: components that own their state and exchange messages with peers."""
