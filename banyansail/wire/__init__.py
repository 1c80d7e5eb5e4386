"""Cap'n Proto messages between routers and their codecs."""
