"""Parsing and validation of router settings and of the operators' rules."""
