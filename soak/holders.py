"""Reports who held the requests of violations last, from the logs of the nodes."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

from thorntrayctl.request_trace import trace_request

REQUEST_ID = re.compile(r"\bs\d+-h?\d+(?:-c)?\b")
MAX_TRACES = 10  # requests of one run that are traced


def holder_lines(folder: Path, violations: Iterable[str]) -> Iterator[str]:
    """Return a line for each request that violations name: its holder and the causes."""
    request_ids = dict.fromkeys(id_ for line in violations for id_ in REQUEST_ID.findall(line))
    if not request_ids:
        return
    lines = [
        line
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text("utf-8").split("\n")
    ]
    for request_id in list(request_ids)[:MAX_TRACES]:
        trace = trace_request(lines, request_id)
        if not trace.lines:
            yield f"{request_id}: no node logged it"
            continue
        holder = trace.holder.text() if trace.holder is not None else "no line names a holder"
        yield f"{request_id}: held last by {holder}; {'; '.join(trace.causes) or 'served'}"
