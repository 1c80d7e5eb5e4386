"""Planner of the instances that each service needs, their zones and versions."""
