"""Other daemons: messages, frames and transports between them."""
