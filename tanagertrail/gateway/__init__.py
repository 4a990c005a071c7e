"""The gateway daemon, which routes callers' requests to the upstreams of a platform."""
