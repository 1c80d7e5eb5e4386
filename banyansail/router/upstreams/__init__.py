"""What a router knows of upstreams: catalog, health, load, crashes, latency."""
