"""Moves of traffic from one version to another by a deadline."""
