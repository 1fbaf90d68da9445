"""Check that a request which crashes workers is refused in time, over all nodes together.

Only crashes count that a node could judge: not those of workers that were stopping, and not those
beside a node, or on connections, that another fault had hit.
"""

from collections import defaultdict
from collections.abc import Iterator

from soak.observation import Observation
from standins.worker import Death

CRASHES_TO_BLOCK = 3
STABLE_TIME = 3.0  # seconds after the third crash
MAX_FURTHER_SENDS = 3


def sends_after_third_crash(observation: Observation) -> Iterator[str]:
    """Find deadly requests that reached workers too often after their third crash."""
    by_body: dict[bytes, list[Death]] = defaultdict(list)
    for death in sorted(observation.record.deaths, key=lambda death: death.at):
        by_body[death.body].append(death)
    for body, deaths in by_body.items():
        counted = [death for death in deaths if _can_be_judged(observation, death)]
        if len(counted) < CRASHES_TO_BLOCK:
            continue
        known_at = counted[CRASHES_TO_BLOCK - 1].at + STABLE_TIME
        late = [
            death
            for death in deaths
            if death.at > known_at and observation.node_stable(death.node, known_at, death.at)
        ]
        if len(late) > MAX_FURTHER_SENDS:
            yield (
                f"DEADLY: {body.decode()} crashed {len(late)} workers later than "
                f"{STABLE_TIME:.0f} s after its third crash"
            )


def _can_be_judged(observation: Observation, death: Death) -> bool:
    until = death.at + STABLE_TIME
    stable = observation.node_stable(death.node, death.at, until)
    undisturbed = observation.undisturbed(death.node, death.at, until)
    return stable and undisturbed and not death.planned_stop
