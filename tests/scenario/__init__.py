"""Run failure scenarios that are written as small text cases; docs/SCENARIOS.md explains."""
