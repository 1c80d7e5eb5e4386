"""Naive routing decisions for differential tests and benchmarks."""
