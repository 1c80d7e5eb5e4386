"""Randomized faults against a fleet of gateways, checked from what both ends saw."""
