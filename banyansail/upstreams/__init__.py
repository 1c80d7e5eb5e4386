"""Connections from a router to engines and services."""
