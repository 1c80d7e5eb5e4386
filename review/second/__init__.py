"""Stand-ins and processes of the second review's scripts."""
