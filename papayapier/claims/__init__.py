"""Run non-idempotent requests with an idempotency key at most once."""
