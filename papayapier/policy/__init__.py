"""Make decisions without I/O, as functions of state, event and time."""
