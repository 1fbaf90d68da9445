"""Stand-ins for what surrounds thorntray: the platform's service, upstream instances, relays.

They serve tests, the demo and the bench, and are not shipped.
"""
