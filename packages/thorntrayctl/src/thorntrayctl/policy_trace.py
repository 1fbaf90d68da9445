"""Tells why a node handled a request by an older version of the policy than others had.

Each line of a request has the version that its node used. `POLICY_IN_FORCE` shows when each node
had a newer one, `POLICY_HEARD` when a node learnt that there is one.
"""

from thorntrayctl.log_line import LogLine

POLICY_IN_FORCE, POLICY_HEARD = 302, 304  # as in `thorntray.internal.telemetry.events`
# Seconds that a version takes to all nodes while nothing fails; a line within them needs no reason.
USUAL_DELAY = 0.5


def outdated_policies(events: list[LogLine], lines: list[LogLine]) -> list[str]:
    """Return a sentence for each node that used an older version although a newer one was known.

    `events` are the lines of all nodes, `lines` those of the request, both by time.
    """
    sentences: dict[str, str] = {}
    for line in lines:
        version = line.fields.get("policy")
        if not isinstance(version, int):
            continue
        newer = _first(events, POLICY_IN_FORCE, version, line.time - USUAL_DELAY)
        if newer is not None:
            sentences[line.node] = _sentence(events, line, version, newer)
    return list(sentences.values())


def _sentence(events: list[LogLine], line: LogLine, version: int, newer: LogLine) -> str:
    text = (
        f"policy: {line.node} used version {version}; version {newer.fields['version']} was in "
        f"force at {newer.node} {line.time - newer.time:.1f} s before"
    )
    own = [event for event in events if event.node == line.node]
    heard = _first(own, POLICY_HEARD, version, line.time)
    if heard is None:
        return f"{text}; {line.node} had not heard of it"
    return (
        f"{text}; {line.node} had heard of version {heard.fields['version']} from "
        f"{heard.fields.get('source')} {line.time - heard.time:.1f} s before, and not received it"
    )


def _first(events: list[LogLine], number: int, version: int, until: float) -> LogLine | None:
    """Return the first line of an event about a version above the given one."""
    for event in events:
        found = event.fields.get("version")
        if event.event == number and isinstance(found, int) and found > version:
            return event if event.time <= until else None
    return None
