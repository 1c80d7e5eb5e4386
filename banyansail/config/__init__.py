"""Settings of a router and rules of the operators: parsing and checking."""
