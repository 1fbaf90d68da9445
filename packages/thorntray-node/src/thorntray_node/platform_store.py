"""What a `MeshNode` needs of the platform's key-value store."""

from typing import NamedTuple, Protocol

from thorntray.internal.store.policy_watch import PolicyStore
from thorntray.internal.store.seeds import SeedStore


class PlatformStore(SeedStore, PolicyStore, Protocol):
    """The operations of the platform's key-value store that the node needs."""

    async def close(self) -> None:
        """Close all connections."""
        ...


class StoreKeys(NamedTuple):
    """Key prefix of the seeds, and key of the policy, in the platform's key-value store."""

    seeds_prefix: str
    policy_key: str
