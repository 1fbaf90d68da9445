"""Bound on the bytes that a node holds for requests and answers.

A process that exceeds its memory limit is killed, and every request that it has accepted is lost.
Therefore the bytes are bounded before they are taken in: what does not fit is refused while it is
certain that it has not run, or left unread with its sender.

The bytes held are read from the components that hold them, so that nothing has to be given back.
Components that hold many small buffers keep a running total.
"""

from collections.abc import Callable
from enum import Enum

PROGRAM_BYTES = 64 * 1024 * 1024  # code, policies, and state of hundreds of peers
MIN_PAYLOAD_RATIO = 0.25  # least share of a small limit that is left for requests and answers
COPIES = 3  # of a byte at once: in the read buffer, decoded, and in the buffer that it leaves by
SMALL_REQUEST_BYTES = 4 * 1024  # taken in without a look at the budget while memory is not scarce
# Answers of peers cannot be left unread without holding back all others of their link. Up to this
# multiple of the budget they are kept, and the rest up to `COPIES` is for frames being decoded.
# With 1.7, a node of 300 MB peaked at 427 MB with 10 answers of 30 MB for slow callers.
KEPT_ANSWERS_RATIO = 1.25
# Share of the budget up to which the node counts as empty. Only then is a single body that exceeds
# its share taken in, which would otherwise be refused forever.
EMPTY_RATIO = 0.1


class Share(Enum):
    """What bytes are taken in for; the value is the share of the budget that it may fill.

    Answers to what was accepted come last to their limit, and requests that run at most once are
    refused after those that may be repeated. Small requests add little; they are only refused
    since their answers will need memory, too.
    """

    REPEATABLE_REQUEST = 0.5
    REQUEST = 0.7
    SMALL_REPEATABLE_REQUEST = 0.85
    SMALL_REQUEST = 0.95
    ANSWER = 1.0

    @classmethod
    def of_request(cls, repeatable: bool, size: int) -> "Share":
        """Return the share for a request of `size` bytes in all."""
        if size <= SMALL_REQUEST_BYTES:
            return cls.SMALL_REPEATABLE_REQUEST if repeatable else cls.SMALL_REQUEST
        return cls.REPEATABLE_REQUEST if repeatable else cls.REQUEST


class MemoryBudget:
    """The bytes that a process may hold for requests and answers; `limit` None: not bounded."""

    def __init__(self, process_limit: int | None) -> None:
        self.limit: int | None = None
        if process_limit is not None:
            payload = max(process_limit - PROGRAM_BYTES, int(process_limit * MIN_PAYLOAD_RATIO))
            self.limit = payload // COPIES
        self.pressed = False  # whether small requests should ask for room, too
        self._sources: dict[str, Callable[[], int]] = {}
        self._leaving: list[Callable[[], int]] = []

    def add_source(self, kind: str, read_bytes: Callable[[], int], *, leaving: bool = True) -> None:
        """Add a component that holds bytes of a kind.

        `leaving` bytes are on their way out of the process; others may wait for an answer.
        """
        self._sources[kind] = read_bytes
        if leaving:
            self._leaving.append(read_bytes)

    def held_by_kind(self) -> dict[str, int]:
        """Return the bytes held by kind."""
        return {kind: read_bytes() for kind, read_bytes in self._sources.items()}

    @property
    def held(self) -> int:
        """Return the bytes held by all components."""
        return sum(read_bytes() for read_bytes in self._sources.values())

    def has_room(self, count: int, share: Share) -> bool:
        """Return whether `count` more bytes may be taken in."""
        if self.limit is None:
            return True
        held = self.held
        if held + count <= self.limit * share.value:
            return True
        return held <= self.limit * EMPTY_RATIO and held + count <= self.limit

    def can_keep(self, count: int) -> bool:
        """Return whether a complete answer of `count` bytes may still be kept for its caller.

        Such an answer is not copied any more, so it may take some of what is left for copies.
        """
        return self.limit is None or self.held + count <= self.limit * KEPT_ANSWERS_RATIO

    def will_have_room(self, count: int) -> bool:
        """Return whether `count` bytes fit beside those that are leaving."""
        leaving = sum(read_bytes() for read_bytes in self._leaving)
        return self.limit is None or leaving + count <= self.limit

    def review(self) -> None:
        """Update `pressed`; to be called several times a second."""
        self.pressed = not self.has_room(0, Share.SMALL_REPEATABLE_REQUEST)
