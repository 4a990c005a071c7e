"""The daemon that stands between callers and the upstreams of a platform."""
