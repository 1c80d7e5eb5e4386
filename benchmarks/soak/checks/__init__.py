"""Rules that are checked from what callers and upstreams saw."""
