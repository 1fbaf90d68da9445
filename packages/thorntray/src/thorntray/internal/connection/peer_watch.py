"""Whether the peer of a link lives and takes what is sent to it: decisions without I/O.

A busy peer answers a ping late, since the ping waits behind the frames that were sent before it and
the pong behind the peer's own. Silence alone is therefore no sign of a dead peer: received data and
bytes taken from a backlog are both evidence of life. Bytes taken without a backlog are none,
because the kernel of a frozen process acknowledges them too.

A peer whose process pauses for a second still takes its results afterwards. The short limit on
waiting output therefore holds only above `FULL_BUFFER_BYTES`, to bound the memory of this process.

Time in which this process did not run says nothing about the peer: an observation counts for at
most `MAX_STEP`.
"""

from enum import Enum

PING_AFTER_SILENCE = 0.2  # seconds
SILENCE_TIMEOUT = 0.5  # seconds after the ping
FULL_BUFFER_BYTES = 16 * 1024 * 1024
FULL_BUFFER_TIMEOUT = 0.5  # seconds without any evidence of life while more bytes are waiting
MAX_STALL_TIME = 10.0  # seconds in which a peer may take nothing of what is waiting
OUTPUT_CHECK_PERIOD = 0.1  # seconds
MAX_STEP = 2 * OUTPUT_CHECK_PERIOD


class LostReason(Enum):
    """Why a connection between nodes ended, as in the log."""

    PEER_CLOSED = "peer closed"
    PEER_STOPPED = "peer stopped"  # with notice of the last call that it has read
    RESET = "reset"
    SILENT = "silent"
    NO_PROGRESS = "no progress"  # the peer took no output
    MALFORMED = "malformed"
    CLOSED_HERE = "closed here"


class Step(Enum):
    """What to do after a check for silence."""

    NONE = 0
    PING = 1
    GIVE_UP = 2


class PeerWatch:
    """Watches one connection; all times are in monotonic seconds."""

    __slots__ = ("_pinged_at", "ping_pending", "_taken", "_had_backlog")
    __slots__ += ("_observed_at", "_evidence_at", "_without_evidence", "without_progress")

    def __init__(self, now: float) -> None:
        self._evidence_at = now  # of life
        self._pinged_at = now
        self.ping_pending = False  # whether nothing was received since the last ping
        self._taken = 0
        self._had_backlog = False
        self._observed_at = now
        self._without_evidence = 0.0  # seconds observed while output was waiting
        self.without_progress = 0.0  # seconds since the peer has taken any of it

    def record_receipt(self, now: float) -> None:
        """Record that data was received."""
        self._evidence_at = now
        self.ping_pending = False

    def record_output(self, taken: int, backlog: bool, now: float) -> None:
        """Record the bytes that the peer has taken so far, and whether further ones wait."""
        if self._had_backlog and taken > self._taken:
            self._evidence_at = now
            self.without_progress = 0.0
        self._taken, self._had_backlog = taken, backlog

    def restart_output(self, taken: int, now: float) -> None:
        """Begin to watch output that has begun to wait."""
        self.record_output(taken, True, now)
        self._observed_at = now
        self._without_evidence = self.without_progress = 0.0

    def output_stalled(self, waiting: int, now: float) -> bool:
        """Return whether to give up a peer that does not take the `waiting` bytes of output.

        To be called each `OUTPUT_CHECK_PERIOD`, after `record_output`.
        """
        step = min(now - self._observed_at, MAX_STEP)
        seen = self._evidence_at > self._observed_at
        self._observed_at = now
        self._without_evidence = 0.0 if seen else self._without_evidence + step
        self.without_progress += step
        full = waiting > FULL_BUFFER_BYTES
        if full and self._without_evidence > FULL_BUFFER_TIMEOUT:
            return True
        return self.without_progress > MAX_STALL_TIME

    def next_step(self, now: float) -> Step:
        """Return what to do about the silence of the peer."""
        silence = now - max(self._evidence_at, self._pinged_at)
        if silence > SILENCE_TIMEOUT and self.ping_pending:
            return Step.GIVE_UP
        if silence > PING_AFTER_SILENCE and not self.ping_pending:
            return Step.PING
        return Step.NONE

    def record_ping(self, now: float) -> None:
        """Record that a ping is sent."""
        self.ping_pending = True
        self._pinged_at = now
