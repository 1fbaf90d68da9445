"""Fault soak: runs real node processes under load with injected faults and checks guarantees."""
