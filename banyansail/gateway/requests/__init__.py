"""Life cycle of a request: attempts at upstreams, relays, the response."""
