"""Overload control decisions, each with the load pattern that it answers. Performs no I/O."""
