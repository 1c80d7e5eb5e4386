"""Duties of the fleet, held by one router at a time: usage, replicas, moves."""
