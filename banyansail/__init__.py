"""A serving system for model and service requests on reclaimable instances."""

__version__ = "0.1.0"
