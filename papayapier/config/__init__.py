"""Accept, replicate and apply profiles and configuration."""
