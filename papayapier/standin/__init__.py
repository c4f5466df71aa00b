"""Simulate the platform, model engines and plain services for tests and experiments."""
