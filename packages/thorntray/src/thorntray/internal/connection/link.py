"""Links: TCP connections of a `MeshNode` to other nodes, for the frames of `connection.frame`.

A node opens one link to each peer that it sends to. Concurrent requests share it, and the call
number matches a result to its request. No frame is sent twice. While results are pending, a link
is checked for a silent peer (see `connection.link_connection`).

A peer that is believed dead may be alive, and one that leaves still sends the results that it
owes. The link to a removed member is therefore drained: it gets no new calls, and is closed when
its last call has ended.
"""

import asyncio
from collections.abc import Callable

from thorntray.internal.connection.call_bound import call_bytes, may_add_call
from thorntray.internal.connection.frame import (
    CallFrame,
    CancelFrame,
    Frame,
    GoAway,
    Hello,
    ResultFrame,
)
from thorntray.internal.connection.link_connection import LinkConnection
from thorntray.internal.connection.peer_watch import LostReason
from thorntray.internal.connection.receive_gate import ReceiveGate
from thorntray.internal.connection.socket_opener import SocketOpener, is_exhausted
from thorntray.internal.membership.instance_notices import InstanceNotice
from thorntray.internal.membership.member import Member
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.memory_budget import MemoryBudget, Share
from thorntray.internal.request.result import Cause
from thorntray.internal.telemetry.events import Event, log_event, log_handler_failure

CONNECT_TIMEOUT = 0.4  # seconds
LIVENESS_CHECK_PERIOD = 0.1  # seconds

ResultHandler = Callable[[ResultFrame | Cause], None]
MemberFrameHandler = Callable[[Member, Frame], None]
LinkFailureHandler = Callable[[Member], None]
NoticeSource = Callable[[str], tuple[InstanceNotice, ...]]  # by name of the member


class Link:
    """The outgoing link to one peer, with the calls whose results are pending."""

    def __init__(
        self,
        member: Member,
        make_hello: Callable[[], Hello],
        compressed: bool,
        clock: Clock,
        on_non_result_frame: MemberFrameHandler,
        on_link_failure: LinkFailureHandler,
        opener: SocketOpener,
        gate: ReceiveGate | None = None,
    ) -> None:
        self.member = member
        self._make_hello = make_hello
        self._compressed = compressed
        self._clock = clock
        self._on_non_result_frame = on_non_result_frame
        self._on_link_failure = on_link_failure
        self._opener = opener
        self._gate = gate
        self._connection: LinkConnection | None = None
        self._pending_calls: dict[int, ResultHandler] = {}
        self._unsent: list[Frame] = []
        self._unsent_bytes = 0  # of the calls in `_unsent`
        self._refused: set[int] = set()  # calls that were not put into the link
        self._last_number = 0
        self._connecting: asyncio.Task[None] | None = None
        self._draining = False

    @property
    def drained(self) -> bool:
        """Return whether the link was drained and its last call has ended."""
        return self._draining and self._connection is None

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of frames that the operating system has not yet taken."""
        in_connection = 0 if self._connection is None else self._connection.unsent_bytes
        return self._unsent_bytes + in_connection

    @property
    def received_bytes(self) -> int:
        """Return the bytes of an incomplete frame."""
        return 0 if self._connection is None else self._connection.received_bytes

    def call(self, make_frame: Callable[[int], CallFrame], on_result: ResultHandler) -> int:
        """Send a call and return its number.

        `on_result` is called with the result, or with a `Cause` if the call failed without one:
        `Cause.FULL`, soon but not before this method returns, if the link has no room for it. If
        it raises an exception, it is called once more with `Cause.GARBLED`.
        """
        self._last_number += 1
        number = self._last_number
        frame = make_frame(number)
        self._pending_calls[number] = on_result
        if self._has_room(frame):
            self.send(frame)
        else:
            self._refused.add(number)
            asyncio.get_running_loop().call_soon(self._end_refused, number)
        return number

    def cancel(self, number: int, *, notify_peer: bool = True) -> bool:
        """Withdraw a call and, by default, notify the peer; returns False if it was never sent."""
        self._pending_calls.pop(number, None)
        if number in self._refused:
            return False
        for frame in self._unsent:
            if isinstance(frame, CallFrame) and frame.number == number:
                self._unsent.remove(frame)
                self._unsent_bytes -= call_bytes(frame)
                return False
        if notify_peer and self._connection is not None:
            self._connection.send(CancelFrame(number))
        if self._draining:  # the peer cancels the call also if the connection ends first
            self._close_if_drained()
        return True

    def send(self, frame: Frame) -> None:
        """Send a frame, opening the connection first if necessary."""
        if self._connection is not None and not self._connection.lost:
            self._connection.send(frame)
            return
        self._unsent.append(frame)
        if isinstance(frame, CallFrame):
            self._unsent_bytes += call_bytes(frame)
        self.open()

    def open(self) -> None:
        """Open the connection unless it is open; its first frame tells what this node knows."""
        connected = self._connection is not None and not self._connection.lost
        if not connected and self._connecting is None:
            self._connecting = asyncio.ensure_future(self._connect())

    def check_liveness(self, now: float) -> None:
        """Check the connection if results are pending on it, or if it has not answered a ping."""
        connection = self._connection
        if connection is not None and (self._pending_calls or connection.ping_pending):
            connection.check_liveness(now)

    def drain(self) -> None:
        """Close the connection when its last call has ended; no call may follow.

        Sent calls may still end with their results, unsent ones end as `Cause.NO_INSTANCE` now.
        """
        self._draining = True
        if self._connecting is not None:
            self._connecting.cancel()
        self._fail_unsent()
        self._close_if_drained()

    def close(self) -> None:
        """Close the connection; sent calls end as `Cause.LOST`, others as `NO_INSTANCE`."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._fail_unsent()

    def on_frame(self, link: LinkConnection, frame: Frame) -> None:
        """Pass a result to the handler of its call, and other frames to `on_non_result_frame`."""
        if isinstance(frame, ResultFrame):
            self._end_call(frame.number, frame)
        elif isinstance(frame, GoAway):
            self._end_calls(link, LostReason.PEER_STOPPED, link.unsent_bytes, frame.last_call)
            link.abort()
        else:
            self._on_non_result_frame(self.member, frame)

    def on_lost(self, link: LinkConnection) -> None:
        """End every call of the connection, as `NO_INSTANCE` if its frame was never written."""
        self._end_calls(link, link.lost_reason, link.lost_bytes, self._last_number)

    def _end_calls(
        self, link: LinkConnection, reason: LostReason, unsent: int, last_read: int
    ) -> None:
        """End the calls of a connection that carries no further results.

        The peer may have read those up to the number `last_read`.
        """
        if link is not self._connection:
            return
        self._connection = None
        unsent_calls = _call_numbers(self._unsent) | self._refused
        sent = [number for number in self._pending_calls if number not in unsent_calls]
        unwritten = _call_numbers(link.unwritten_frames())
        never_read = {number for number in sent if number > last_read or number in unwritten}
        log_event(
            Event.LINK_LOST,
            peer=self.member.name,
            waiting=len(sent) - len(never_read),
            reason=reason.value,
            unsent=unsent,
        )
        if not self._draining:  # a new process of the member may have replaced this one
            self._on_link_failure(self.member)
        for number in sent:
            self._end_call(number, Cause.NO_INSTANCE if number in never_read else Cause.LOST)

    async def _connect(self) -> None:
        member = self.member
        try:
            connection = LinkConnection(
                self, self._clock, self._make_hello(), self._compressed, gate=self._gate
            )
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self._opener.open(lambda: connection, member.address, member.peer_port)
        except Exception as exc:  # whatever it is, the calls that wait for the link must end
            self._connecting = None
            if not is_exhausted(exc):  # which says nothing about the peer
                self._on_link_failure(member)
            log_event(Event.LINK_UNREACHABLE, peer=member.name, detail=repr(exc))
            self._fail_unsent()
            return
        self._connecting = None
        if connection.lost:
            self._fail_unsent()
            return
        connection.peer = member.name
        self._connection = connection
        for frame in self._take_unsent():
            connection.send(frame)

    def _end_call(self, number: int, outcome: ResultFrame | Cause) -> None:
        """Pass the outcome to the handler of a call; the handler of another may have ended it."""
        on_result = self._pending_calls.pop(number, None)
        if self._draining:
            self._close_if_drained()
        if on_result is None:
            return
        try:
            on_result(outcome)
        except Exception:  # the other calls are not affected
            self._end_as_garbled(on_result)

    def _end_as_garbled(self, on_result: ResultHandler) -> None:
        log_handler_failure(peer=self.member.name)
        try:
            on_result(Cause.GARBLED)
        except Exception:  # the handler cannot be called at all
            log_handler_failure(peer=self.member.name)

    def _close_if_drained(self) -> None:
        if not self._pending_calls and self._connection is not None:
            connection, self._connection = self._connection, None
            connection.abort()

    def _fail_unsent(self) -> None:
        for frame in self._take_unsent():
            if isinstance(frame, CallFrame):
                self._end_call(frame.number, Cause.NO_INSTANCE)

    def _take_unsent(self) -> list[Frame]:
        frames, self._unsent, self._unsent_bytes = self._unsent, [], 0
        return frames

    def _has_room(self, call: CallFrame) -> bool:
        connection, size = self._connection, call_bytes(call)
        if connection is None or connection.lost:
            unsent, stalled = self._unsent_bytes, False
        else:
            unsent, stalled = connection.unsent_bytes, connection.stalled
        if may_add_call(size, unsent, stalled):
            return True
        log_event(Event.LINK_FULL, peer=self.member.name, unsent=unsent, bytes=size)
        return False

    def _end_refused(self, number: int) -> None:
        self._refused.discard(number)
        self._end_call(number, Cause.FULL)


def _call_numbers(frames: list[Frame]) -> set[int]:
    return {frame.number for frame in frames if isinstance(frame, CallFrame)}


class Links:
    """The outgoing links of this node, by peer name.

    Results that do not fit into the budget `memory` are left with their senders until they do.
    """

    def __init__(
        self,
        name: str,
        session: bytes,
        domain: str,
        clock: Clock,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._name = name
        self._session = session
        self._domain = domain
        self._clock = clock
        self.opener = SocketOpener()
        self._gate = ReceiveGate(memory, Share.ANSWER)
        self._links: dict[str, Link] = {}
        self._draining: list[Link] = []
        self.on_non_result_frame: MemberFrameHandler = lambda member, frame: None
        self.on_link_failure: LinkFailureHandler = lambda member: None
        self.notices_of: NoticeSource = lambda name: ()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of frames to peers that the operating system has not yet taken."""
        return sum(link.unsent_bytes for link in self._all())

    @property
    def received_bytes(self) -> int:
        """Return the bytes of incomplete frames."""
        return sum(link.received_bytes for link in self._all())

    def link_to(self, member: Member) -> Link:
        """Return the link to a peer; the link to an earlier session of it is drained."""
        earlier = self._links.get(member.name)
        if earlier is not None and earlier.member.session == member.session:
            return earlier
        compressed = member.domain != self._domain
        link = Link(
            member,
            lambda: Hello(self._name, self._session, self.notices_of(member.name)),
            compressed,
            self._clock,
            lambda m, f: self.on_non_result_frame(m, f),
            lambda m: self.on_link_failure(m),
            self.opener,
            self._gate,
        )
        self._links[member.name] = link
        if earlier is not None:
            self._drain(earlier)
        return link

    @property
    def connection_count(self) -> int:
        """Return the number of links, which have or will have a connection."""
        return len(self._links) + len(self._draining)

    def drain_link(self, name: str) -> None:
        """Drain the link to a peer that has left, has restarted or is believed dead."""
        link = self._links.pop(name, None)
        if link is not None:
            self._drain(link)

    async def watch(self) -> None:
        """Check all links for silent peers until cancelled."""
        while True:
            await asyncio.sleep(LIVENESS_CHECK_PERIOD)
            now = self._clock.monotonic()
            await asyncio.sleep(0)  # lets the loop read what arrived if the process has stalled
            self._draining = [link for link in self._draining if not link.drained]
            for link in self._all():
                link.check_liveness(now)

    def close(self) -> None:
        """Close all links at once, also those that are drained."""
        links = self._all()
        self._links.clear()
        self._draining.clear()
        for link in links:
            link.close()

    def _all(self) -> list[Link]:
        return [*self._links.values(), *self._draining]

    def _drain(self, link: Link) -> None:
        self._draining.append(link)
        link.drain()
