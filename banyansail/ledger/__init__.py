"""At-most-once journal of calls that may not be repeated."""
