"""At-most-once journal of non-idempotent calls."""
