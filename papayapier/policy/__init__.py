"""Decide, without I/O: state, event and time in, decisions out."""
