"""Two deployments under load, during which one node is killed and another one is drained.

The deployments are modelled on the users' requirements. Run by `make demo`. Ends within a minute;
exits with 1 if a guarantee was violated: a non-idempotent request executed twice, an executed
request reported as not run, a response to another request, no successful request of a kind, or a
failed graceful stop.
"""

import asyncio
import sys
import time
from collections import defaultdict
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from standins.fleet import ROOT, Fleet, Site

LOAD_SECONDS = 16.0
CALLERS_PER_KIND = 4
KILL_AT = 4.0  # seconds after the start of the load
DRAIN_AT = 8.0  # seconds after the start of the load
CALLER_DELAY = 0.003  # one-way network delay in seconds, as in the users' requirements
MAX_MICROSECONDS = 60_000_000
OUTCOMES = ("done", "not-run", "failed", "unknown")

# For each service: name, slots per instance, service time in seconds.
HIMAL_SERVICES = (
    ("tariff", 50, 0.01),
    ("settle", 50, 0.01),
    ("haul", 50, 0.01),
    ("stockbook", 15, 0.005),
)
RIYAH_SERVICES = (
    ("forecast", 150, 0.01),
    ("bookings", 150, 0.01),
    ("beaches", 150, 0.01),
    ("instructors", 50, 0.005),
)
DOMAINS = {"himal": ("kalimati", "balaju"), "riyah": ("qurum", "seeb")}


@dataclass(frozen=True)
class RequestKind:
    """A kind of request: the team, the method and the path below `/call/`."""

    name: str
    team: str
    method: str
    path: str


KINDS = (
    RequestKind("lookup", "himal", "GET", "tariff/prices?nest=stockbook/stock"),
    RequestKind("pickup", "himal", "GET", "haul/slots?nest=stockbook/stock"),
    RequestKind("payout", "himal", "POST", "settle/payouts?nest=stockbook/stock"),
    RequestKind("availability", "riyah", "GET", "beaches/slots?nest=instructors/roster"),
    RequestKind("reservation", "riyah", "POST", "bookings/reservations?nest=instructors/roster"),
)


@dataclass
class RequestStats:
    """Results of the requests of one kind; the times are in microseconds."""

    sent: int = 0
    outcomes: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    by_request: dict[str, str] = field(default_factory=dict)
    mismatched: list[str] = field(default_factory=list)
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_MICROSECONDS, 3))


class Callers:
    """Closed-loop callers of all request kinds."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.stats_by_kind = {kind.name: RequestStats() for kind in KINDS}

    async def run(self) -> None:
        """Send requests for `LOAD_SECONDS`."""
        until = time.monotonic() + LOAD_SECONDS
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            # If aiohttp's own retry were refused, it would hide that the first attempt was sent.
            session._retry_connection = False
            await asyncio.gather(
                *(
                    self._caller(session, kind, i, until)
                    for kind in KINDS
                    for i in range(CALLERS_PER_KIND)
                )
            )

    async def _caller(
        self, session: aiohttp.ClientSession, kind: RequestKind, number: int, until: float
    ) -> None:
        stats = self.stats_by_kind[kind.name]
        sequence = 0
        while time.monotonic() < until:
            sequence += 1
            request = f"{kind.name}-{number}-{sequence}"
            started = time.monotonic()
            outcome = await self._call(session, kind, request, sequence)
            stats.sent += 1
            stats.outcomes[outcome] += 1
            stats.by_request[request] = outcome
            micros = int((time.monotonic() - started) * 1e6)
            stats.times.record_value(max(1, min(micros, MAX_MICROSECONDS)))
            await asyncio.sleep(0.02)

    async def _call(
        self, session: aiohttp.ClientSession, kind: RequestKind, request: str, sequence: int
    ) -> str:
        entry_nodes = [s for s in self._fleet.sites if s.domain in DOMAINS[kind.team] and _up(s)]
        entry_node = entry_nodes[sequence % len(entry_nodes)]
        headers = {"x-request": request}
        await asyncio.sleep(CALLER_DELAY)
        try:
            outcome, grant = await self._send(session, entry_node, kind, headers)
            if grant:
                headers["thorntray-grant"] = grant
                outcome, _ = await self._send(session, entry_node, kind, headers)
        except aiohttp.ClientConnectorError:
            outcome = "not-run"  # the connection was refused, so nothing was sent
        except (aiohttp.ClientError, TimeoutError):
            outcome = "unknown"
        await asyncio.sleep(CALLER_DELAY)
        return outcome

    async def _send(
        self,
        session: aiohttp.ClientSession,
        entry_node: Site,
        kind: RequestKind,
        headers: dict[str, str],
    ) -> tuple[str, str]:
        url = f"{entry_node.url}/call/{kind.path}"
        timeout = aiohttp.ClientTimeout(total=10)
        async with session.request(kind.method, url, headers=headers, timeout=timeout) as resp:
            body = await resp.read()
            outcome = resp.headers.get("thorntray-outcome", "unknown")
            if outcome == "done" and headers["x-request"].encode() not in body:
                self.stats_by_kind[kind.name].mismatched.append(headers["x-request"])
            grant = resp.headers.get("thorntray-grant", "") if resp.status == 428 else ""
            return outcome, grant


def _up(site: Site) -> bool:
    return site.node is not None and site.node.poll() is None


def log_progress(text: str) -> None:
    """Print a progress message with the time of day."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def start(fleet: Fleet) -> None:
    """Start both deployments, apply their settings, and wait until all nodes are ready."""
    log_progress("starting the platform stand-in and applying the teams' settings")
    fleet.start_platform()
    for team in DOMAINS:
        fleet.apply(team, ROOT / "demo/settings" / team)
    for team, services in (("himal", HIMAL_SERVICES), ("riyah", RIYAH_SERVICES)):
        for service, slots, service_time in services:
            for domain in DOMAINS[team]:
                fleet.add_site(Site(f"{service}-{domain}", service, domain, slots, service_time))
    log_progress(
        f"started {len(fleet.sites)} nodes with their instances; waiting until all are ready"
    )
    fleet.wait_ready()


async def inject_failures(fleet: Fleet) -> None:
    """Kill one node and drain another while the load runs."""
    by_name = {site.name: site for site in fleet.sites}
    await asyncio.sleep(KILL_AT)
    log_progress("kill -9 of the node settle-kalimati")
    by_name["settle-kalimati"].node.kill()
    await asyncio.sleep(DRAIN_AT - KILL_AT)
    log_progress("SIGTERM to the node bookings-qurum: graceful stop")
    drained = by_name["bookings-qurum"].node
    drained.terminate()
    while drained.poll() is None:
        await asyncio.sleep(0.1)
    log_progress(f"bookings-qurum has stopped with exit code {drained.returncode}")


async def run_load(fleet: Fleet) -> Callers:
    """Send the load while one node is killed and another is drained; return the callers."""
    callers = Callers(fleet)
    log_progress(f"sending load for {LOAD_SECONDS:.0f} s")
    await asyncio.gather(callers.run(), inject_failures(fleet))
    return callers


def report(fleet: Fleet, callers: Callers) -> list[str]:
    """Print a table of the results and return the violated guarantees."""
    record = fleet.run_counts()
    violations: list[str] = []
    header = f"{'class':13}{'sent':>6}" + "".join(f"{outcome:>9}" for outcome in OUTCOMES)
    print(f"\n{header}{'twice':>7}{'p50 ms':>8}{'p99 ms':>8}")
    for kind in KINDS:
        stats = callers.stats_by_kind[kind.name]
        service = kind.path.split("/")[0]
        runs = {name: record.get(f"{service}:{name}", 0) for name in stats.by_request}
        duplicates = sum(count > 1 for count in runs.values()) if kind.method == "POST" else 0
        counts = "".join(f"{stats.outcomes[outcome]:>9}" for outcome in OUTCOMES)
        p50, p99 = (stats.times.get_value_at_percentile(p) / 1000 for p in (50, 99))
        print(f"{kind.name:13}{stats.sent:>6}{counts}{duplicates:>7}{p50:>8.1f}{p99:>8.1f}")
        violations += _violations(kind, stats, runs, duplicates)
    return violations


def _violations(
    kind: RequestKind, stats: RequestStats, runs: dict[str, int], duplicates: int
) -> list[str]:
    violations = []
    if duplicates:
        violations.append(f"{duplicates} {kind.name} request(s) were executed twice")
    misreported = [n for n, outcome in stats.by_request.items() if outcome == "not-run" and runs[n]]
    if misreported:
        violations.append(
            f"{kind.name} request(s) reported as not run were executed: {misreported[:3]}"
        )
    if stats.mismatched:
        violations.append(
            f"{kind.name} request(s) got the response to another request: {stats.mismatched[:3]}"
        )
    if not stats.outcomes["done"]:
        violations.append(f"no {kind.name} request succeeded")
    return violations


def main() -> int:
    """Run the demonstration; return the exit code."""
    with Fleet(DOMAINS) as fleet:
        start(fleet)
        callers = asyncio.run(run_load(fleet))
        drained = next(s for s in fleet.sites if s.name == "bookings-qurum")
        violations = report(fleet, callers)
        if drained.node.returncode != 0:
            violations.append(f"the graceful stop ended with exit code {drained.node.returncode}")
    for text in violations:
        print(f"VIOLATED: {text}")
    if not violations:
        print("\nno guarantee was violated")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
