"""The 64-bit hash used wherever all nodes must compute the same order or bucket."""

import xxhash

HASH_RANGE = 2**64


def hash64(data: str | bytes) -> int:
    """Return a hash in [0, HASH_RANGE) that is the same on every machine."""
    raw = data.encode() if isinstance(data, str) else data
    return xxhash.xxh3_64_intdigest(raw)
