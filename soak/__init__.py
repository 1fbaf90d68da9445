"""Fault soak: real nodes as processes, faults from outside, promises checked while it runs."""
