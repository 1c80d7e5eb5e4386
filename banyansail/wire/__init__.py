"""Messages between routers and their Cap'n Proto codec."""
