"""Reports who held the requests of violations last, from the logs of the nodes."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

from soak.lost_answers import KILLED_SO
from thorntrayctl.log_line import LogLine
from thorntrayctl.request_holder import STOPPED
from thorntrayctl.request_trace import trace_request

REQUEST_ID = re.compile(r"\bs\d+-h?\d+(?:-c)?\b")
MAX_TRACES = 10  # requests of one run that are traced


def holder_lines(folder: Path, violations: Iterable[str]) -> Iterator[str]:
    """Return a line for each request that violations name: its holder and the causes.

    Those that ended with a killed process have one line together, as it logged nothing of them.
    """
    lines_by_id = {id_: line for line in violations for id_ in REQUEST_ID.findall(line)}
    killed = [id_ for id_, line in lines_by_id.items() if KILLED_SO in line]
    if killed:
        yield f"{len(killed)} requests: held last by a process that was killed for its memory"
    request_ids = [id_ for id_ in lines_by_id if id_ not in killed]
    if not request_ids:
        return
    lines = [
        line
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text("utf-8").split("\n")
    ]
    for request_id in request_ids[:MAX_TRACES]:
        trace = trace_request(lines, request_id)
        if not trace.lines:
            yield f"{request_id}: no node logged it{_unsent(lines, lines_by_id[request_id])}"
            continue
        holder = trace.holder.text() if trace.holder is not None else "no line names a holder"
        yield f"{request_id}: held last by {holder}; {'; '.join(trace.causes) or 'served'}"


def _unsent(lines: list[str], violation: str) -> str:
    """Return the bytes that the node of a violation had not sent as it stopped, if any."""
    events = [event for line in lines if (event := LogLine.from_text(line)) is not None]
    found = ""
    for event in events:
        unsent = event.fields.get("unsent") if event.event == STOPPED else None
        if unsent and f" at {event.node} " in violation:
            found = f"; the output of {event.node} had {unsent} bytes of answers as it stopped"
    return found
