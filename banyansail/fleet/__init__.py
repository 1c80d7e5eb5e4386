"""Membership and shared state of the routers, by gossip; never authoritative."""
