"""End-to-end tests with real processes.

They cover killed and frozen nodes, broken links, truncated responses and planned stops.
"""

import base64
import hashlib
import json
import re
import shlex
import signal
import socket
import subprocess
import threading
import time
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.fleet import ROOT, Fleet, Site, http, wait_for
from standins.relay import Relay

pytestmark = pytest.mark.process


@pytest.fixture(scope="module")
def fleet():
    with Fleet(["himal"]) as fleet:
        fleet.start_platform()
        fleet.apply("himal", ROOT / "demo/settings/himal")
        for service, slots in (("tariff", 50), ("settle", 50), ("stockbook", 15)):
            for domain in ("kalimati", "balaju"):
                fleet.add_site(Site(f"{service}-{domain}", service, domain, slots, 0.005))
        fleet.wait_ready()
        yield fleet


@pytest.fixture(autouse=True)
def restart_stopped_processes(fleet):
    """Restart the nodes and upstream instances that a test has stopped."""
    yield
    for site in fleet.sites:
        if site.node.poll() is not None:
            fleet.start_node(site)
        if site.upstream.poll() is not None:
            fleet.start_upstream(site)
    fleet.wait_ready()


def send(site, method, path, headers=None, body=None, timeout=20):
    """Return status, headers and body of a caller's request."""
    req = urllib.request.Request(f"{site.url}/call/{path}", body, headers or {}, method=method)
    try:
        with urllib.request.urlopen(req, timeout=timeout) as resp:
            return resp.status, resp.headers, resp.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.headers, exc.read()


def request_grant(site, request, path="settle/payouts"):
    status, headers, _ = send(site, "POST", path, {"x-request": request}, b"{}")
    assert status == 428 and headers["thorntray-outcome"] == "not-run"
    return headers["thorntray-grant"]


def pay(site, request, grant, query="", deadline=3000):
    """Send a payout and return its outcome, `unknown` when the connection fails."""
    request_headers = {"x-request": request, "thorntray-grant": grant}
    request_headers["thorntray-deadline-ms"] = str(deadline)
    try:
        _, headers, _ = send(site, "POST", f"settle/payouts{query}", request_headers, b"{}")
    except OSError:
        return "unknown"
    return headers["thorntray-outcome"]


def run_in_background(function, *args):
    return ThreadPoolExecutor(1).submit(function, *args)


def execution_count(fleet, request, service="settle"):
    sites = [s for s in fleet.sites if s.service == service and s.upstream.poll() is None]
    return fleet.run_counts(sites).get(f"{service}:{request}", 0)


def owner_of(fleet, service="settle"):
    """Return the site of a service whose node remembers the most grants."""
    sites = [site for site in fleet.sites if site.service == service]
    grant_counts = [
        http("GET", f"{s.url}/thorntray/dump")[1]["grants"]["remembered"] for s in sites
    ]
    return sites[grant_counts.index(max(grant_counts))]


def test_a_nested_call_returns_the_complete_answer(fleet):
    status, headers, body = send(fleet.sites[2], "GET", "tariff/prices?nest=stockbook/stock")
    assert status == 200 and headers["thorntray-outcome"] == "done"
    assert json.loads(body)["nested"][0]["status"] == 200


def test_a_one_megabyte_body_is_returned_intact_with_length_and_digest(fleet):
    body = bytes(range(256)) * 4096
    grant = request_grant(fleet.sites[0], "big")
    request_headers = {"x-request": "big", "thorntray-grant": grant}
    _, headers, answer = send(
        fleet.sites[0], "POST", "settle/payouts?mode=echo", request_headers, body
    )
    assert answer == body and int(headers["content-length"]) == len(body)
    digest = headers["content-digest"].removeprefix("sha-256=:").removesuffix(":")
    assert hashlib.sha256(answer).digest() == base64.b64decode(digest)


def test_parallel_requests_each_get_their_own_answer(fleet):
    def gets_own_answer(i):
        _, _, body = send(
            fleet.sites[i % 6],
            "GET",
            f"tariff/prices?time={0.02 * (i % 5)}&size={i * 50}",
            {"x-request": f"own-{i}"},
        )
        return json.loads(body)["request"] == f"own-{i}"

    with ThreadPoolExecutor(16) as pool:
        assert all(pool.map(gets_own_answer, range(120)))


@pytest.mark.parametrize("mode", ["half", "garbage", "drop"])
def test_a_malformed_instance_response_is_unknown_and_never_forwarded(fleet, mode):
    grant = request_grant(fleet.sites[0], f"broken-{mode}")
    request_headers = {"x-request": f"broken-{mode}", "thorntray-grant": grant}
    path = f"settle/payouts?mode={mode}&size=5000"
    status, headers, body = send(fleet.sites[0], "POST", path, request_headers, b"{}")
    assert (status, headers["thorntray-outcome"], body) == (504, "unknown", b"")
    assert execution_count(fleet, f"broken-{mode}") == 1


@pytest.mark.parametrize("moment", ["before", "during", "after"])
def test_killing_the_owner_at_any_moment_never_causes_a_second_run(fleet, moment):
    request = f"killed-{moment}"
    ingress = fleet.sites[0]
    grant = request_grant(ingress, request)
    owner = owner_of(fleet)
    others = [s for s in fleet.sites if s is not owner]
    if moment == "before":
        owner.node.kill()
    running = run_in_background(pay, others[0], request, grant, "?time=1")
    if moment == "during":
        wait_for("the payout to run", lambda: execution_count(fleet, request))
        owner.node.kill()
    outcomes = [running.result()]
    if moment == "after":
        owner.node.kill()
    outcomes += [pay(site, request, grant, "?time=1") for site in others[:3]]
    assert execution_count(fleet, request) == (0 if moment == "before" else 1)
    assert set(outcomes) <= {"done", "unknown"}
    assert outcomes[0] == ("done" if moment == "after" else "unknown")


def test_a_frozen_owner_that_resumes_after_the_deadline_runs_nothing(fleet):
    ingress = fleet.sites[0]
    grant = request_grant(ingress, "frozen")
    owner = owner_of(fleet)
    other = next(s for s in fleet.sites if s is not owner and s is not ingress)
    pay(other, "warm", request_grant(other, "warm"))
    owner.node.send_signal(signal.SIGSTOP)
    outcome = pay(other, "frozen", grant, deadline=500)
    time.sleep(0.5)
    owner.node.send_signal(signal.SIGCONT)
    wait_for("the owner", lambda: http("GET", f"{owner.url}/thorntray/status")[0] == 200)
    time.sleep(0.5)
    assert outcome == "unknown" and execution_count(fleet, "frozen") == 0


def test_a_client_can_retry_after_its_ingress_was_killed_during_a_platform_outage(fleet):
    fleet.set_faults(down=True)
    try:
        ingress = fleet.sites[0]
        grant = request_grant(ingress, "moved")
        first = run_in_background(pay, ingress, "moved", grant, "?time=0.5")
        wait_for("the payout to run", lambda: execution_count(fleet, "moved"))
        ingress.node.kill()
        assert first.result() == "unknown"
        assert pay(fleet.sites[1], "moved", grant, "?time=0.5") == "done"
        assert execution_count(fleet, "moved") == 1
    finally:
        fleet.set_faults(down=False)


def test_fifty_parallel_copies_through_all_nodes_run_once(fleet):
    grant = request_grant(fleet.sites[0], "fifty")
    with ThreadPoolExecutor(50) as pool:
        outcomes = list(
            pool.map(lambda i: pay(fleet.sites[i % 6], "fifty", grant, "?time=0.3"), range(50))
        )
    assert execution_count(fleet, "fifty") == 1
    assert set(outcomes) <= {"done", "unknown"} and "done" in outcomes


def test_a_forged_grant_and_one_for_another_route_run_nothing(fleet):
    grant = request_grant(fleet.sites[0], "forged")
    forged = grant[:4] + ("A" if grant[4] != "A" else "B") + grant[5:]
    assert pay(fleet.sites[0], "forged", forged) == "not-run"
    request_headers = {"x-request": "forged", "thorntray-grant": grant}
    status, _, _ = send(fleet.sites[0], "POST", "stockbook/entries", request_headers, b"{}")
    assert status == 403
    assert execution_count(fleet, "forged") == execution_count(fleet, "forged", "stockbook") == 0


def test_invalid_requests_are_rejected_with_reason_and_detail(fleet):
    site = fleet.sites[0]
    cases = [
        ("GET", "nowhere/x", {}, None, 404, "unknown-service"),
        ("PUT", "tariff/prices", {}, b"", 404, "unknown-route"),
        ("GET", "tariff/prices", {"thorntray-deadline-ms": "soon"}, None, 400, "bad-request"),
        ("POST", "settle/payouts", {}, b"x" * (5 * 1024 * 1024), 413, "body-too-large"),
    ]
    for method, path, headers, body, status, reason in cases:
        try:
            found = send(site, method, path, headers, body)
        except OSError:  # the node answered before the body was sent
            assert status == 413
            continue
        assert (found[0], found[1]["thorntray-reason"]) == (status, reason)
        assert found[1]["thorntray-outcome"] == "not-run"
        assert found[1]["thorntray-detail"]


def test_a_caller_disconnect_cancels_a_lookup_but_not_a_payout(fleet):
    grant = request_grant(fleet.sites[0], "hung-pay")
    for method, path, headers in (
        ("GET", "tariff/prices?time=0.8", {"x-request": "hung-look"}),
        ("POST", "settle/payouts?time=0.8", {"x-request": "hung-pay", "thorntray-grant": grant}),
    ):
        with pytest.raises(OSError):
            send(fleet.sites[0], method, path, headers, b"" if method == "POST" else None, 0.3)
    wait_for("the payout to be answered", lambda: _fully_answered(fleet, "settle", "hung-pay"))
    assert execution_count(fleet, "hung-pay") == 1
    assert not _fully_answered(fleet, "tariff", "hung-look")


def _fully_answered(fleet, service, request):
    sites = [s for s in fleet.sites if s.service == service]
    return any(http("GET", f"{s.upstream_url}/record")[1]["whole"].get(request) for s in sites)


def test_a_draining_instance_gets_no_new_requests(fleet):
    site = next(s for s in fleet.sites if s.service == "tariff")
    http("POST", f"{site.url}/thorntray/instance/drain")
    before = sum(fleet.run_counts([site]).values())
    outcomes = []
    for i in range(30):
        _, headers, _ = send(fleet.sites[i % 6], "GET", "tariff/prices")
        outcomes.append(headers["thorntray-outcome"])
    assert sum(fleet.run_counts([site]).values()) == before
    assert outcomes.count("done") == 30
    http("POST", f"{site.url}/thorntray/instance/register")


class BackgroundLoad:
    """Callers that send requests until stopped and record each request's outcome.

    Odd-numbered callers send lookups, even-numbered callers send payouts.
    """

    def __init__(self, ingress_sites, callers=6):
        self.ingress_sites = ingress_sites
        self.outcomes = []
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(i,)) for i in range(callers)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, caller):
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            request = f"load-{caller}-{sequence}"
            ingress = self.ingress_sites[(caller + sequence) % len(self.ingress_sites)]
            try:
                if caller % 2:
                    path = "tariff/prices?nest=stockbook/stock&time=0.05"
                    response_headers = send(ingress, "GET", path, {"x-request": request})[1]
                    self.outcomes.append((request, response_headers["thorntray-outcome"]))
                else:
                    grant = request_grant(ingress, request)
                    query = "?nest=stockbook/stock&time=0.05"
                    self.outcomes.append((request, pay(ingress, request, grant, query)))
            except (OSError, AssertionError) as exc:
                self.outcomes.append((request, f"error {exc!r}"))


def test_planned_stops_of_half_the_fleet_under_load_interrupt_no_request(fleet):
    stopped = fleet.sites[::2]  # one instance of each service
    ingress_sites = fleet.sites[1::2]
    with BackgroundLoad(ingress_sites) as load:
        time.sleep(1)
        for site in stopped:
            site.node.terminate()
            assert site.node.wait(40) == 0
            site.upstream.terminate()
            site.upstream.wait(40)  # an instance that is ending refuses the question for its record
        time.sleep(0.5)
    interrupted = [row for row in load.outcomes if row[1] not in ("done", "not-run")]
    assert not interrupted
    assert sum(outcome == "done" for _, outcome in load.outcomes) > 50
    record = fleet.run_counts([s for s in fleet.sites if s.upstream.poll() is None])
    for request, outcome in load.outcomes:
        count = record.get(f"settle:{request}", 0)
        assert count <= 1 and (outcome != "not-run" or count == 0)


def test_a_broken_instance_link_gives_unknown_or_a_correct_not_run(fleet):
    site = Site("haul-relayed", "haul", "kalimati", 50, 0.3)
    relay = Relay(site.upstream_port)
    instance_port, site.upstream_port = site.upstream_port, relay.port
    fleet.start_node(site)
    site.upstream_port = instance_port
    fleet.start_upstream(site)
    ingress = fleet.sites[0]
    fleet.wait_ready([site, ingress], members=len(fleet.sites) + 1)
    outcomes = {}
    for name, fault in (("whole", None), ("swallowed", "drop"), ("reset", "reset"), ("cut", "cut")):
        relay.drop_responses = fault == "drop"
        if fault == "cut":
            relay.refuse_connections()
        headers = {"x-request": name, "thorntray-deadline-ms": "1200"}
        answer = run_in_background(send, ingress, "GET", "haul/slots", headers)
        if fault == "reset":
            wait_for("the request to run", lambda: execution_count_at(site, "reset"))
            relay.close_connections()
        outcomes[name] = answer.result()[1]["thorntray-outcome"]
        relay.heal()
    record = {name: execution_count_at(site, name) for name in outcomes}
    site.node.kill()
    site.upstream.kill()
    relay.close()
    assert outcomes == {
        "whole": "done",
        "swallowed": "unknown",
        "reset": "unknown",
        "cut": "not-run",
    }
    assert record == {"whole": 1, "swallowed": 1, "reset": 1, "cut": 0}


def execution_count_at(site, request):
    return http("GET", f"{site.upstream_url}/record")[1]["ran"].get(request, 0)


def _curl_commands():
    """Return the curl commands of README.md and docs/API.md as argument lists."""
    text = ""
    for page in ("README.md", "docs/API.md"):
        text += (ROOT / page).read_text("utf-8").replace("\\\n", " ")
    lines = re.findall(r"^    (curl .*?)(?:  +#.*)?$", text, re.MULTILINE)
    return [shlex.split(line) for line in lines]


def test_the_curl_commands_in_the_docs_work(fleet):
    site = next(s for s in fleet.sites if s.service == "haul" or s.service == "tariff")
    address = f"127.0.0.1:{site.http_port}"
    answers, grant = [], ""
    for arguments in _curl_commands():
        filled = [argument.replace("127.0.0.1:8001", address) for argument in arguments]
        filled = [argument.replace("GRANT-OF-THE-428", grant) for argument in filled]
        done = subprocess.run([*filled, "-s", "-i"], capture_output=True, text=True, timeout=20)
        head = done.stdout.split("\r\n\r\n")[0]
        answers.append(int(head.split()[1]))
        found = re.search(r"^thorntray-grant: (\S+)", head, re.MULTILINE | re.IGNORECASE)
        grant = found.group(1) if found else grant
    http("POST", f"{site.url}/thorntray/instance/register")
    assert answers == [200, 428, 200, 200, 200, 200, 200]


def test_json_logs_statsd_metrics_and_the_dump_on_a_signal(fleet):
    site = Site("haul-logs", "haul", "kalimati", 50, 0.005)
    with socket.socket(type=socket.SOCK_DGRAM) as statsd_server:
        statsd_server.bind(("127.0.0.1", 0))
        statsd_server.settimeout(20)
        port = statsd_server.getsockname()[1]
        file = fleet.folder / "haul-logs.ini"
        extra = f"[metrics]\nstatsd = 127.0.0.1:{port}\n[log]\nform = json\n"
        file.write_text(fleet._node_ini(site) + extra, "utf-8")
        node = fleet._start("haul-logs", *fleet.node_command, f"--config={file}")
        log = fleet.folder / "haul-logs.log"
        try:
            metrics = statsd_server.recv(65536).decode()
            node.send_signal(signal.SIGUSR1)
            wait_for("the dump", lambda: '"tasks"' in log.read_text("utf-8"))
        finally:
            node.terminate()
        assert node.wait(30) == 0
    assert "thorntray.haul.haul-logs.members:" in metrics
    lines = [json.loads(line) for line in log.read_text("utf-8").splitlines() if line[:1] == "{"]
    events = [line for line in lines if "event" in line]
    dumps = [line for line in lines if "tasks" in line]
    assert {"STARTED", "DUMP_WRITTEN", "DRAIN_ENDED"} <= {line["name"] for line in events}
    assert dumps[0]["version"] == 1 and dumps[0]["node"]["name"] == "haul-logs"
