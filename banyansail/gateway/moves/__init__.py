"""Moves of traffic between versions: orders, evidence, verdicts, states."""
