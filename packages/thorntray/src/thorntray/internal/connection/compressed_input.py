"""The input of a compressed link, expanded in parts of bounded size.

A body of equal bytes expands to more than two hundred times what was received. The link asks for
room for it after each part, so that the rest stays compressed while there is none.
"""

import zlib

EXPANDED_AT_ONCE = 256 * 1024  # bytes
RAW_DEFLATE_WBITS = -15  # raw deflate stream without zlib header


class CompressedInput:
    """The bytes that a link has received and not yet expanded."""

    def __init__(self) -> None:
        self._decompressor = zlib.decompressobj(RAW_DEFLATE_WBITS)
        self._received = b""

    @property
    def size(self) -> int:
        """Return the number of bytes that are not expanded yet."""
        return len(self._received)

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self._received += data

    def next_part(self) -> bytes:
        """Return the next expanded bytes, none if all are; raises `zlib.error`."""
        part = self._decompressor.decompress(self._received, EXPANDED_AT_ONCE)
        self._received = self._decompressor.unconsumed_tail
        return part
