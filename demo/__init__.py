"""A demonstration with two deployments under load."""
