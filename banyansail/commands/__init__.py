"""Subcommands of the operator's command line, one module for each."""
