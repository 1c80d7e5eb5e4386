"""Choice of an upstream, and what a router knows of each one's load and speed."""
