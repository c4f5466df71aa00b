"""Reconcile model engines with their wanted state through orders from one controller."""
