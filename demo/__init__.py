"""A demonstration with the two deployments of the brief."""
