"""Implementation of thorntray; not part of the public API."""
