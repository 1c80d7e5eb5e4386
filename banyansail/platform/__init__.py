"""Adapter for the users' platform: converts between its wire format and our types."""
