"""Generate load, run experiments and report the results."""
