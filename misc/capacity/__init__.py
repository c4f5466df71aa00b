"""Measure what one instance spends, and work out what the users' target size would need."""
