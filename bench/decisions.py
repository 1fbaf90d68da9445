"""Measures retry amplification and the share of unknown outcomes, in virtual time without load.

Run: `python -m bench.decisions`.

1. Attempts for one root request over a chain of 8 services of which the last one refuses every
   request: per-hop retries (3 at each hop) compared with thorntray, in one run.
2. The share of `unknown` outcomes although nothing was executed, by kind of failure, over random
   schedules of duplicate requests with message loss, kills, restarts, drains, sheds and network
   partitions.
"""

import asyncio
from collections import Counter
from random import Random

from tests.builders import MemoryNetwork, make_settings, run_virtual
from tests.test_at_most_once import _run_scenario
from tests.test_retry_bound import _call_children_from
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.outcome import Done, NotRun, Outcome, Reason

DEPTH = 8  # services in the chain
RETRY_ALLOWANCE = 3
PER_HOP_ATTEMPTS = 4  # one attempt and three retries
SCHEDULES = 300  # for each kind of failure
MAX_PAUSE = 0.8  # seconds before a request or a failure
FAILURES = ("none", "loss", "kill", "restart", "drain", "shed", "cut")


async def _count_attempts(per_hop: bool) -> int:
    services = {f"s{i}": {} for i in range(DEPTH)}
    network = MemoryNetwork(Random(1), make_settings(services, RETRY_ALLOWANCE))
    network.delay = 0.0001
    for i in range(DEPTH):
        network.add(f"s{i}a", f"s{i}")
        network.add(f"s{i}b", f"s{i}")
    for i in range(DEPTH - 1):
        _call_children_from(network, f"s{i}", [f"s{i + 1}"])
    for name in (f"s{DEPTH - 1}a", f"s{DEPTH - 1}b"):
        network.nodes[name].upstream.make_refusal = lambda: NotRun(Reason.UPSTREAM_SHED)
    if per_hop:
        for node in network.nodes.values():
            _retry_per_hop(node.outbound)
    headers = {"thorntray_deadline_ms": "60000"}
    await network.nodes["s0a"].call("s0", **headers)
    await asyncio.sleep(1)
    return sum(node.outbound.attempts_sent for node in network.nodes.values())


def _retry_per_hop(outbound) -> None:
    async def send(req, escrow, tried=None) -> Outcome:
        outcome: Outcome = NotRun(Reason.NO_INSTANCE)
        for _ in range(PER_HOP_ATTEMPTS):
            members = outbound._parts.directory.members_of(req.route.service)
            member = outbound._parts.rng.choice(members)
            outcome = (await outbound._try_member(member, req, Escrow(0))).outcome
            if isinstance(outcome, Done):
                break
        return outcome

    outbound.send = send


def _random_schedule(failure_kind: str, rng: Random) -> tuple[float, list, list]:
    copies = [
        (rng.randrange(3), rng.choice("abc"), rng.uniform(0, MAX_PAUSE))
        for _ in range(rng.randint(3, 12))
    ]
    failures = []
    if failure_kind not in ("none", "loss"):
        failures = [(failure_kind, rng.choice("abc"), rng.uniform(0, MAX_PAUSE))]
    return (0.1 if failure_kind == "loss" else 0.0), copies, failures


def _unknown_shares() -> None:
    for failure_kind in FAILURES:
        counts: Counter[str] = Counter()
        for seed in range(SCHEDULES):
            loss, copies, failures = _random_schedule(failure_kind, Random(seed))
            network, outcomes_by_request = run_virtual(_run_scenario(seed, loss, copies, failures))
            for request, outcomes in outcomes_by_request.items():
                for outcome in outcomes:
                    counts[outcome] += 1
                    if outcome == "unknown" and not network.execution_count(request):
                        counts["unknown though nothing ran"] += 1
        total = sum(
            counts[outcome_name] for outcome_name in ("done", "not-run", "failed", "unknown")
        )
        shares = {
            outcome_name: f"{count / total:.3f}" for outcome_name, count in sorted(counts.items())
        }
        print(f"{failure_kind:8} {total} answers  {shares}")


def main() -> None:
    """Print both measurements."""
    for name, per_hop in (("per-hop retries", True), ("thorntray", False)):
        print(
            f"{name}: {run_virtual(_count_attempts(per_hop))} attempts for one root, depth {DEPTH}"
        )
    _unknown_shares()


if __name__ == "__main__":
    main()
