"""Generate load, run experiments and report them."""
