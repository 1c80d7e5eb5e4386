"""Adapter to the users' platform: decodes its wire into our types, decides nothing."""
