"""Accept, run and keep batch jobs."""
