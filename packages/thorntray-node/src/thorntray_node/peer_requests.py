"""Requests that peers have sent to the instance of this node, and the replies to them."""

from thorntray.internal.connection.frame import CallFrame, CancelFrame, FetchPolicy, Frame, Hello
from thorntray.internal.connection.link_connection import LinkConnection
from thorntray.internal.request.owner import Owner
from thorntray.internal.request.owner_request import OwnerRequest
from thorntray.internal.request.result import Result
from thorntray.internal.request.result_frames import frame_from_result
from thorntray.internal.store.policy_watch import PolicyWatch
from thorntray.internal.telemetry.events import Event, log_event


class PeerRequests:
    """Handles the frames of all links that peers have opened."""

    def __init__(self, owner: Owner, policy_watch: PolicyWatch) -> None:
        self._owner = owner
        self._policy_watch = policy_watch
        self._requests: dict[tuple[LinkConnection, int], OwnerRequest] = {}

    def on_frame(self, link: LinkConnection, frame: Frame) -> None:
        """Handle a frame from a peer, received on a link that the peer opened."""
        match frame:
            case Hello(notices=notices):
                for notice in notices:
                    self._owner.deps.tracker.learn_from_peer(notice)
            case CallFrame(number):
                self._submit(link, number, frame)
            case CancelFrame(number):
                request = self._requests.get((link, number))
                if request is not None:
                    request.cancel()
            case FetchPolicy():
                policy = self._policy_watch.reply_to_fetch(frame)
                if policy is not None:
                    link.send(policy)

    def on_lost(self, link: LinkConnection) -> None:
        """Cancel the requests of a lost peer, which can no longer receive the results."""
        lost = [key for key in self._requests if key[0] is link]
        if lost or link.lost_bytes:
            log_event(
                Event.LINK_LOST,
                peer=link.peer,
                owed=len(lost),
                reason=link.lost_reason.value,
                unsent=link.lost_bytes,
            )
        for key in lost:
            request = self._requests.get(key)
            if request is not None:
                request.cancel()

    def _submit(self, link: LinkConnection, number: int, call: CallFrame) -> None:
        key = (link, number)
        done = False

        def on_result(result: Result) -> None:
            nonlocal done
            done = True
            self._requests.pop(key, None)
            link.send(frame_from_result(number, result))

        request = self._owner.submit(call, on_result)
        if not done:
            self._requests[key] = request
