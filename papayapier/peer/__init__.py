"""Carry messages between the system's own instances."""
