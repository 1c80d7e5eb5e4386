"""Naive versions of the decisions, for differential tests and benchmarks."""
