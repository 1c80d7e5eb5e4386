"""Stand-ins and tools that the cases of the review share; standard library only."""
