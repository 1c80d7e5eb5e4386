"""Routing decisions without I/O: admission, choice of upstreams, retries."""
