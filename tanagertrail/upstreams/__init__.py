"""Upstreams: model engines and plain services that run requests."""
