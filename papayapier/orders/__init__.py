"""Bring model engines to the wanted state by orders from one controller."""
