"""Stand-ins of the platform, by its published protocol, for tests with real processes."""
