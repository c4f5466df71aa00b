"""Run non-idempotent requests that have an idempotency key at most once."""
