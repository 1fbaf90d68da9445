"""Decisions on overload, each with the load pattern that it answers; no input or output."""
