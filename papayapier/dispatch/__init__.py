"""Carry requests and batch items from acceptance to a replica and back."""
