"""Measure the cost of one instance, for extrapolation to the users' target size."""
