"""Two deployments in the shape of the brief, under load, with a kill and a drain on the way.

Run by `make demo`. Ends within a minute; exits with 1 if a promise of the brief broke.
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
KILL_AT = 4.0  # seconds after the load begins
DRAIN_AT = 8.0
CALLER_DELAY = 0.003  # seconds, one way, as the brief gives it
MAX_MICROSECONDS = 60_000_000
OUTCOMES = ("done", "not-run", "failed", "unknown")

# service, slots, service time in seconds
BAGMATI = (("tariff", 50, 0.01), ("settle", 50, 0.01), ("haul", 50, 0.01), ("stockbook", 15, 0.005))
MUSCAT = (
    ("forecast", 150, 0.01),
    ("bookings", 150, 0.01),
    ("beaches", 150, 0.01),
    ("instructors", 50, 0.005),
)
DOMAINS = {"himal": ("kalimati", "balaju"), "riyah": ("qurum", "seeb")}


@dataclass(frozen=True)
class Kind:
    """One kind of request that callers send."""

    name: str
    team: str
    method: str
    path: str


KINDS = (
    Kind("lookup", "himal", "GET", "tariff/prices?nest=stockbook/stock"),
    Kind("pickup", "himal", "GET", "haul/slots?nest=stockbook/stock"),
    Kind("payout", "himal", "POST", "settle/payouts?nest=stockbook/stock"),
    Kind("availability", "riyah", "GET", "beaches/slots?nest=instructors/roster"),
    Kind("reservation", "riyah", "POST", "bookings/reservations?nest=instructors/roster"),
)


@dataclass
class Tally:
    """What callers of one kind saw."""

    sent: int = 0
    outcomes: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    by_request: dict[str, str] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_MICROSECONDS, 3))


class Callers:
    """Sends requests of all kinds until the time is over."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.tallies = {kind.name: Tally() for kind in KINDS}

    async def run(self) -> None:
        """Send for the whole time."""
        until = time.monotonic() + LOAD_SECONDS
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            # A hidden repeat that is refused would hide that the first one had been sent.
            session._retry_connection = False
            await asyncio.gather(
                *(
                    self._caller(session, kind, i, until)
                    for kind in KINDS
                    for i in range(CALLERS_PER_KIND)
                )
            )

    async def _caller(
        self, session: aiohttp.ClientSession, kind: Kind, number: int, until: float
    ) -> None:
        tally = self.tallies[kind.name]
        turn = 0
        while time.monotonic() < until:
            turn += 1
            request = f"{kind.name}-{number}-{turn}"
            began = time.monotonic()
            outcome = await self._one(session, kind, request, turn)
            tally.sent += 1
            tally.outcomes[outcome] += 1
            tally.by_request[request] = outcome
            micros = int((time.monotonic() - began) * 1e6)
            tally.times.record_value(max(1, min(micros, MAX_MICROSECONDS)))
            await asyncio.sleep(0.02)

    async def _one(
        self, session: aiohttp.ClientSession, kind: Kind, request: str, turn: int
    ) -> str:
        entries = [s for s in self._fleet.sites if s.domain in DOMAINS[kind.team] and _up(s)]
        entry = entries[turn % len(entries)]
        headers = {"x-request": request}
        await asyncio.sleep(CALLER_DELAY)
        try:
            outcome, grant = await self._send(session, entry, kind, headers)
            if grant:
                headers["thorntray-grant"] = grant
                outcome, _ = await self._send(session, entry, kind, headers)
        except aiohttp.ClientConnectorError:
            outcome = "not-run"  # the connection was refused, so nothing was sent
        except (aiohttp.ClientError, TimeoutError):
            outcome = "unknown"
        await asyncio.sleep(CALLER_DELAY)
        return outcome

    async def _send(
        self, session: aiohttp.ClientSession, entry: Site, kind: Kind, headers: dict[str, str]
    ) -> tuple[str, str]:
        url = f"{entry.url}/call/{kind.path}"
        timeout = aiohttp.ClientTimeout(total=10)
        async with session.request(kind.method, url, headers=headers, timeout=timeout) as resp:
            body = await resp.read()
            outcome = resp.headers.get("thorntray-outcome", "unknown")
            if outcome == "done" and headers["x-request"].encode() not in body:
                self.tallies[kind.name].broken.append(headers["x-request"])
            grant = resp.headers.get("thorntray-grant", "") if resp.status == 428 else ""
            return outcome, grant


def _up(site: Site) -> bool:
    return site.node is not None and site.node.poll() is None


def say(text: str) -> None:
    """Print progress."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def start(fleet: Fleet) -> None:
    """Start both deployments and apply their settings."""
    say("starting the platform stand-in and applying the teams' settings")
    fleet.start_platform()
    for team in DOMAINS:
        fleet.apply(team, ROOT / "demo/settings" / team)
    for team, services in (("himal", BAGMATI), ("riyah", MUSCAT)):
        for service, slots, service_time in services:
            for domain in DOMAINS[team]:
                fleet.add_site(Site(f"{service}-{domain}", service, domain, slots, service_time))
    say(f"started {len(fleet.sites)} nodes with their instances; waiting until all are ready")
    fleet.wait_ready()


async def trouble(fleet: Fleet) -> None:
    """Kill one node and drain another while the load runs."""
    by_name = {site.name: site for site in fleet.sites}
    await asyncio.sleep(KILL_AT)
    say("kill -9 of the node settle-kalimati")
    by_name["settle-kalimati"].node.kill()
    await asyncio.sleep(DRAIN_AT - KILL_AT)
    say("SIGTERM to the node bookings-qurum: graceful stop")
    drained = by_name["bookings-qurum"].node
    drained.terminate()
    while drained.poll() is None:
        await asyncio.sleep(0.1)
    say(f"bookings-qurum has stopped with exit code {drained.returncode}")


async def carry(fleet: Fleet) -> Callers:
    """Run the load and the trouble."""
    callers = Callers(fleet)
    say(f"sending load for {LOAD_SECONDS:.0f} s")
    await asyncio.gather(callers.run(), trouble(fleet))
    return callers


def report(fleet: Fleet, callers: Callers) -> list[str]:
    """Print the table and return the broken promises."""
    record = fleet.run_counts()
    broken: list[str] = []
    head = f"{'class':13}{'sent':>6}" + "".join(f"{word:>9}" for word in OUTCOMES)
    print(f"\n{head}{'twice':>7}{'p50 ms':>8}{'p99 ms':>8}")
    for kind in KINDS:
        tally = callers.tallies[kind.name]
        service = kind.path.split("/")[0]
        runs = {name: record.get(f"{service}:{name}", 0) for name in tally.by_request}
        twice = sum(count > 1 for count in runs.values()) if kind.method == "POST" else 0
        counts = "".join(f"{tally.outcomes[word]:>9}" for word in OUTCOMES)
        p50, p99 = (tally.times.get_value_at_percentile(p) / 1000 for p in (50, 99))
        print(f"{kind.name:13}{tally.sent:>6}{counts}{twice:>7}{p50:>8.1f}{p99:>8.1f}")
        broken += _broken_promises(kind, tally, runs, twice)
    return broken


def _broken_promises(kind: Kind, tally: Tally, runs: dict[str, int], twice: int) -> list[str]:
    broken = []
    if twice:
        broken.append(f"{twice} {kind.name} request(s) ran twice")
    false = [n for n, outcome in tally.by_request.items() if outcome == "not-run" and runs[n]]
    if false:
        broken.append(f"{kind.name} request(s) reported as not run did run: {false[:3]}")
    if tally.broken:
        broken.append(f"{kind.name} request(s) got another's answer: {tally.broken[:3]}")
    if not tally.outcomes["done"]:
        broken.append(f"no {kind.name} request was done")
    return broken


def main() -> int:
    """Run the demonstration."""
    with Fleet(DOMAINS) as fleet:
        start(fleet)
        callers = asyncio.run(carry(fleet))
        drained = next(s for s in fleet.sites if s.name == "bookings-qurum")
        broken = report(fleet, callers)
        if drained.node.returncode != 0:
            broken.append(f"the graceful stop ended with exit code {drained.node.returncode}")
    for text in broken:
        print(f"BROKEN: {text}")
    if not broken:
        print("\nno promise broke")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
