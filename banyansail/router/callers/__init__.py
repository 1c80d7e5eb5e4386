"""Listening sockets and HTTP resources for callers and operators."""
