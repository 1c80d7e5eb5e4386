"""Server for callers: sockets, HTTP, admission of requests."""
