"""Benchmarks of nodes and of their control plane on one machine."""
