"""Ledger of idempotency keys, by which a non-idempotent call runs at most once."""
