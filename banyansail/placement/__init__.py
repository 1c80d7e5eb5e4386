"""Which versions and instances each service should have, and where."""
