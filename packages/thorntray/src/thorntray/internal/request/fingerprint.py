"""Fingerprint of a request: the same whenever and wherever the same caller sends it again.

A request that crashes instances is known only by what it consists of. Its ID and deadline differ
each time, so they are left out. The route stands for the host; it does not change when the traffic
of a route is split between services. The caller is its workspace: without one, the same request may
enter at nodes of different services, whose names say nothing of the caller.

The hash is not cryptographic, as it is computed on the request path. The workspace is part of it,
so that requests of different workspaces do not usually share a fingerprint.
"""

from collections.abc import Iterable

import xxhash

from thorntray.internal.connection.frame import CallFrame

FINGERPRINT_KEY = 0x7472_6179_6372_6173  # the same on all nodes, differs from other hashes' keys


def fingerprint(route: str, method: bytes, target: bytes, workspace: str, body: bytes) -> int:
    """Return the 64-bit fingerprint of a request; `workspace` is empty without one."""
    digest = xxhash.xxh3_64(seed=FINGERPRINT_KEY)
    for part in _with_lengths((route.encode(), method, target, workspace.encode())):
        digest.update(part)
    digest.update(body)
    return digest.intdigest()


def fingerprint_of_call(call: CallFrame) -> int:
    """Return the fingerprint of a call, the same as at the node where the request entered."""
    route = call.route.rpartition(">")[0]  # without the service
    return fingerprint(route, call.method, call.target, call.workspace, call.body)


def _with_lengths(parts: Iterable[bytes]) -> Iterable[bytes]:
    """Return each part after its length, so that no two lists of parts give the same bytes."""
    for part in parts:
        yield len(part).to_bytes(4, "big")
        yield part
