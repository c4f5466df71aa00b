"""Accept, spread and apply profiles and configuration."""
