"""Implement the HTTP client for upstreams: model engines and plain services."""
