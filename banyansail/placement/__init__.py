"""Plans which instances and versions each service should have, and where."""
