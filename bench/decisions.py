"""Two measurements of the decisions alone, in virtual time: retries and unknown answers.

Run: `python -m bench.decisions`.

1. Attempts for one root over a chain of 8 services whose last one refuses everything: per-hop
   retries (3 at each hop) against thorntray, in one run.
2. The share of answers that say `unknown` although nothing ran, over random schedules of copies,
   loss, kills, restarts, drains, sheds and cuts, by kind of failure.
"""

import asyncio
from collections import Counter
from random import Random

from tests.builders import MemoryNetwork, make_settings, run_virtual
from tests.test_at_most_once import _run_scenario
from tests.test_retry_bound import _call_children_from
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.outcome import Done, NotRun, Outcome, Reason

DEPTH = 8
ALLOWANCE = 3
PER_HOP_TRIES = 4
SCHEDULES = 300
PAUSE_LIMIT = 0.8  # seconds
FAILURES = ("none", "loss", "kill", "restart", "drain", "shed", "cut")


async def _attempts(per_hop: bool) -> int:
    services = {f"s{i}": {} for i in range(DEPTH)}
    network = MemoryNetwork(Random(1), make_settings(services, ALLOWANCE))
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
        for _ in range(PER_HOP_TRIES):
            members = outbound._parts.directory.members_of(req.route.service)
            member = outbound._parts.rng.choice(members)
            outcome = (await outbound._try_member(member, req, Escrow(0))).outcome
            if isinstance(outcome, Done):
                break
        return outcome

    outbound.send = send


def _schedule(kind: str, rng: Random) -> tuple[float, list, list]:
    copies = [
        (rng.randrange(3), rng.choice("abc"), rng.uniform(0, PAUSE_LIMIT))
        for _ in range(rng.randint(3, 12))
    ]
    failures = []
    if kind not in ("none", "loss"):
        failures = [(kind, rng.choice("abc"), rng.uniform(0, PAUSE_LIMIT))]
    return (0.1 if kind == "loss" else 0.0), copies, failures


def _unknown_shares() -> None:
    for kind in FAILURES:
        counts: Counter[str] = Counter()
        for seed in range(SCHEDULES):
            loss, copies, failures = _schedule(kind, Random(seed))
            network, told = run_virtual(_run_scenario(seed, loss, copies, failures))
            for request, outcomes in told.items():
                for outcome in outcomes:
                    counts[outcome] += 1
                    if outcome == "unknown" and not network.execution_count(request):
                        counts["unknown though nothing ran"] += 1
        total = sum(counts[word] for word in ("done", "not-run", "failed", "unknown"))
        shares = {word: f"{count / total:.3f}" for word, count in sorted(counts.items())}
        print(f"{kind:8} {total} answers  {shares}")


def main() -> None:
    """Print both measurements."""
    for name, per_hop in (("per-hop retries", True), ("thorntray", False)):
        print(f"{name}: {run_virtual(_attempts(per_hop))} attempts for one root, depth {DEPTH}")
    _unknown_shares()


if __name__ == "__main__":
    main()
