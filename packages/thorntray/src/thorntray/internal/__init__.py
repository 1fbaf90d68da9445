"""Everything that is not part of the public face of the library."""
