"""Communication between daemons: message types, frame codec and transports."""
