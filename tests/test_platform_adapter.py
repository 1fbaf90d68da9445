"""The platform adapter: decoding of platform data and isolation from the rest of the code.

Its folder must not shadow the standard library's `platform` module, and the platform's names must
not appear in packages/.
"""

import json
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from announcements import AnnouncementHandler  # noqa: E402
from desired_state import decode_desired_state  # noqa: E402
from settings_file import read_settings  # noqa: E402
from tests.builders import ManualClock  # noqa: E402
from thorntray.errors import BadDocument, InvalidSettings  # noqa: E402
from thorntray.internal.process.registration import Registration  # noqa: E402
from thorntray.internal.version.policy import Target  # noqa: E402

PLATFORM_NAMES = (
    "X-Request-Deadline|X-Target-Instance|X-Not-Executed|X-Caller-Service|X-Response-Signature|"
    "TrafficSplit|HeartbeatUrl|MaxAttempts|kv-txn|THORNTRAY_BOOT|op/config|X-Tenant-Id|ApiKeys|"
    "AllowAnonymous|RatePerS|StrictRevocation|RevokeS"
)
MAX_ADAPTER_LINES = 900


def document(*resources, version="r7"):
    return json.dumps({"Version": version, "Resources": list(resources)}).encode()


def route(**changes):
    spec = {
        "Host": "a.example",
        "PathPrefix": "/p/",
        "Kind": "idempotent",
        "TimeoutS": 0.8,
        "TargetLatencyS": 1.5,
        "Priority": 2,
        "Service": "s1",
        "MaxAttempts": 2,
    }
    spec = {k: v for k, v in {**spec, **changes}.items() if v is not None}
    return {"EntryKind": "Routes", "Metadata": {"Name": "r-1"}, "Spec": spec}


def service(name):
    return {"EntryKind": "Services", "Metadata": {"Name": name}, "Spec": {"MaxConnections": 9}}


def test_the_platform_folder_does_not_shadow_the_standard_library_module():
    code = "import platform, aiohttp, uvloop; print(platform.python_version())"
    env = {"PYTHONPATH": str(ROOT / "platform")}
    done = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, cwd=ROOT)
    assert done.returncode == 0, done.stderr
    assert not (ROOT / "platform" / "__init__.py").exists()
    names = {path.stem for path in (ROOT / "platform").glob("*.py")}
    assert not names & sys.stdlib_module_names


def test_platform_names_appear_only_in_the_adapter():
    for path in (ROOT / "packages").rglob("*.py"):
        assert not re.search(PLATFORM_NAMES, path.read_text("utf-8")), path


def test_the_adapter_stays_small():
    lines = sum(len(p.read_text("utf-8").splitlines()) for p in (ROOT / "platform").glob("*.py"))
    assert lines < MAX_ADAPTER_LINES


def test_a_desired_state_is_decoded_to_a_policy():
    split = [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}]
    policy = decode_desired_state(
        document(route(Service=None, TrafficSplit=split), service("s1"), service("s2"))
    )
    found = policy.find_route("A.example", "/p/x/y")
    assert policy.version == 7
    assert found.targets == (Target("s1", 90), Target("s2", 10))
    assert found.idempotent and found.timeout == 0.8


def test_the_longest_prefix_wins_and_an_unknown_host_matches_nothing():
    longer = route(PathPrefix="/p/q/", Kind="non_idempotent")
    longer["Metadata"] = {"Name": "r-2"}
    policy = decode_desired_state(document(route(), longer, service("s1")))
    assert policy.find_route("a.example", "/p/q/1").name == "r-2"
    assert policy.find_route("a.example", "/p/q").name == "r-1"
    assert policy.find_route("a.example", "/pq/1") is None
    assert policy.find_route("b.example", "/p/1") is None


@pytest.mark.parametrize(
    "invalid",
    [
        document(route(), service("s1"))[:-4],
        document(route(Service="s9"), service("s1")),
        document(route(Host=None), service("s1")),
        document(route(TimeoutS=-1), service("s1")),
        document(route(PathPrefix="/p"), service("s1")),
        document(route(Kind="other"), service("s1")),
        document(route(), service("s1"), version="12"),
        document(route(Service=None), service("s1")),
        b"\xff\xfe",
    ],
)
def test_an_invalid_desired_state_is_refused_entirely(invalid):
    with pytest.raises(BadDocument):
        decode_desired_state(invalid)


class FakeExchange:
    """HTTP exchange that records the status of its answer."""

    def __init__(self, target, body):
        self.request = type("Request", (), {"target": target, "body": body})
        self.status = 0

    def respond(self, status, header_lines, body):
        self.status = status


def heartbeat(**changes):
    fields = {
        "Address": "10.0.0.1:80",
        "Info": {"Service": "tariff", "Version": "v1", "Zone": "a", "Slots": 10},
        "Status": {"Phase": "ready", "Sequence": 4, "ColdRemainingS": 0},
        "born": 1000,
    }
    return json.dumps({**fields, **changes}).encode()


def handle_announcements(path, *bodies):
    registration = Registration("tariff", "10.0.0.1:80", ManualClock(), lambda: None)
    announcements = AnnouncementHandler()
    announcements.registration = registration
    statuses = []
    for target, body in zip([path] * len(bodies), bodies, strict=True):
        exchange = FakeExchange(target, body)
        announcements.handle(exchange)
        statuses.append(exchange.status)
    return registration, statuses


def test_a_heartbeat_is_confirmed_and_makes_the_instance_available():
    registration, statuses = handle_announcements(b"/Instances.Heartbeat/i-1", heartbeat())
    assert statuses == [200] and registration.available
    assert registration.current.slots == 10


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe",
        b"{}",
        heartbeat(Info={"Service": "tariff"}),
        heartbeat(Status={"Phase": "resting", "Sequence": 4}),
        heartbeat(Status={"Phase": "ready", "Sequence": "4"}),
        heartbeat(born="yesterday"),
    ],
)
def test_a_malformed_heartbeat_changes_nothing(body):
    registration, statuses = handle_announcements(b"/Instances.Heartbeat/i-1", heartbeat(), body)
    assert statuses == [200, 400]
    assert registration.available and registration.current.sequence == 4


def test_settings_with_a_missing_field_are_refused_with_its_name(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text('[Self]\nNodeName = "n"\n')
    with pytest.raises(InvalidSettings, match="Network|Service"):
        read_settings(path)
