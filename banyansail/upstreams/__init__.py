"""HTTP connections from a router to engines, services and the platform."""
