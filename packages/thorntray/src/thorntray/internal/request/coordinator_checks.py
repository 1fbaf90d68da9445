"""Checks by which the coordinator of a quota learns which part of the fleet it reaches.

A coordinator grants only for the failure domains that answer its checks (`quota_reach`). A node
answers a check only while it takes the sender for alive and for the same process.
"""

from thorntray.internal.membership.gossip import Address, QuotaCheck, QuotaChecked
from thorntray.internal.membership.member import Health
from thorntray.internal.membership.membership import Membership
from thorntray.internal.overload.quota_reach import QuotaReach
from thorntray.internal.process.clock import Clock


class CoordinatorChecks:
    """Sends the checks of this node as a coordinator, and answers those of others."""

    def __init__(self, membership: Membership, reach: QuotaReach, clock: Clock) -> None:
        self._membership = membership
        self._reach = reach
        self._clock = clock
        self._received_at: dict[str, float] = {}  # boot time of the newest check, by coordinator
        membership.handlers[QuotaCheck] = self._on_check
        membership.handlers[QuotaChecked] = self._on_checked

    def send_due(self, now: float) -> None:
        """Send the checks that are due at `now`, in boot time."""
        own = self._membership.own
        for sequence, member in self._reach.due_checks(now):
            check = QuotaCheck(sequence, own.name, own.session)
            self._membership.send_datagram(check, Address(member.address, member.gossip_port))

    def received_at(self, coordinator: str) -> float:
        """Return the boot time of a coordinator's newest check, minus infinity if none came."""
        return self._received_at.get(coordinator, float("-inf"))

    def forget_before(self, oldest: float) -> None:
        """Forget the checks that were received before a boot time."""
        for name in [n for n, at in self._received_at.items() if at < oldest]:
            del self._received_at[name]

    def _on_check(self, check: QuotaCheck, address: Address) -> None:
        """Assent to a coordinator, unless this node takes it for another process or suspects it."""
        member = self._membership.view.get(check.member)
        if member is None or member.health is not Health.ALIVE or member.session != check.session:
            return
        self._received_at[check.member] = self._clock.boottime()
        self._membership.send_datagram(QuotaChecked(check.sequence), address)

    def _on_checked(self, answer: QuotaChecked, address: Address) -> None:
        self._reach.record_answer(answer.sequence)
