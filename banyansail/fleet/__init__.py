"""View of the other routers, kept by gossip; it is advice only."""
