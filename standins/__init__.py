"""Stand-ins for the systems that thorntray connects to, and proxies that inject network faults.

The tests, the demo, the soak test and the benchmarks use them; they are not part of a release.
"""
