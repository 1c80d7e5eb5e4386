"""What the routers of a fleet tell each other."""
