"""Small stand-ins of the platform and of upstreams, for tests, trials and the soak."""
