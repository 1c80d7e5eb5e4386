"""Gradual rollouts ("moves") of a service's traffic to a new version by a deadline."""
