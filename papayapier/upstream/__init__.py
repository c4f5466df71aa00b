"""Talk to upstreams: model engines and plain services."""
