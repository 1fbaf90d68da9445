"""What a `MeshNode` needs of the platform's key-value store."""

from typing import NamedTuple, Protocol

from thorntray.internal.store.kept_entries import EntryStore
from thorntray.internal.store.policy_watch import PolicyStore


class PlatformStore(EntryStore, PolicyStore, Protocol):
    """The operations of the platform's key-value store that the node needs."""

    async def close(self) -> None:
        """Close all connections."""
        ...


class StoreKeys(NamedTuple):
    """Keys and key prefixes in the platform's key-value store."""

    seeds_prefix: str
    policy_key: str
    kept_prefix: str = "kept/"  # of the entries of `KeptEntries`
    root_prefix: str = ""  # that all other prefixes have in common
