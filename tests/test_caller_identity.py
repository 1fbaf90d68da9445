"""Who calls, by API key, and what the instance is told of it."""

import pytest

from desired_state import decode_desired_state
from tests.builders import ManualClock
from tests.mesh_builders import make_policy, make_route
from thorntray.errors import BadDocument
from thorntray.internal.overload.call_parents import CallSender
from thorntray.internal.request.caller_identity import (
    RUN_MARGIN,
    CallerIdentity,
    IdentityRefusal,
)
from thorntray.internal.version.freshness import Freshness
from thorntray.internal.version.workspaces import Workspace, Workspaces

DEPOTS = Workspace("depots", priority=1, rate=20.0, burst=5.0)
ANONYMOUS = make_route(anonymous=True)
KEYED = make_route()
LONGEST_RUN = KEYED.timeout + RUN_MARGIN  # seconds, of the requests of a previous process
POLICY = make_policy()._replace(workspaces=Workspaces.from_keys([(DEPOTS, ["k-1", "k-2"])]))


def identify(
    authorization=b"", route=KEYED, policy=POLICY, sender=CallSender.OTHER, seconds=LONGEST_RUN
):
    clock = ManualClock()
    identity = CallerIdentity(Freshness(clock, None), clock)
    clock.now += seconds
    return identity.identify(policy, route, authorization, lambda: sender)


@pytest.mark.parametrize("key", [b"Bearer k-1", b"bearer k-2", b"Bearer  k-2 "])
def test_each_key_of_a_workspace_identifies_it(key):
    assert identify(key) == DEPOTS


@pytest.mark.parametrize(
    "key", [b"Bearer k-3", b"Bearer ", b"Basic k-1", b"k-1", b"Bearer k-1 k-1"]
)
@pytest.mark.parametrize("route", [KEYED, ANONYMOUS])
def test_an_unknown_key_is_refused_on_anonymous_routes_too(key, route):
    # A withdrawn key must not run anywhere.
    assert identify(key, route) is IdentityRefusal.UNKNOWN_KEY


def test_a_missing_key_is_refused_unless_the_route_is_anonymous():
    assert identify() is IdentityRefusal.MISSING_KEY
    assert identify(route=ANONYMOUS) is None


def test_a_nested_call_needs_no_key():
    assert identify(sender=CallSender.INSTANCE) is None


def test_a_call_that_a_restarted_node_cannot_match_is_not_rejected_for_good():
    # The instance may still run a request that the previous process of the node sent to it.
    assert identify(seconds=1.0) is IdentityRefusal.UNMATCHED_CALL


def test_a_call_that_may_belong_to_the_instance_is_not_rejected_for_good():
    # A 401 is final, so it needs certainty; the node may be running late.
    assert identify(sender=CallSender.UNCERTAIN) is IdentityRefusal.UNMATCHED_CALL


def test_without_workspaces_nobody_needs_a_key():
    assert identify(policy=make_policy()) is None
    assert identify(b"Bearer k-9", policy=make_policy()) is None


def test_no_text_form_of_a_policy_shows_a_key():
    assert "k-1" not in repr(POLICY.workspaces)


DOCUMENT = """{"Version": "r3", "Resources": [
  {"EntryKind": "Services", "Metadata": {"Name": "files"}, "Spec": {}},
  {"EntryKind": "Routes", "Metadata": {"Name": "r-files"}, "Spec": {"Host": "a.example",
   "PathPrefix": "/files/", "Kind": "%(kind)s", "TimeoutS": 4, "TargetLatencyS": 1,
   "Service": "files", "AllowAnonymous": true}},
  {"EntryKind": "Tenants", "Metadata": {"Name": "%(name)s"},
   "Spec": {"ApiKeys": ["%(key)s"], "RatePerS": %(rate)s, "Burst": 3, "Colour": "red"}},
  {"EntryKind": "Tenants", "Metadata": {"Name": "second"}, "Spec": {"ApiKeys": ["k-2"]}},
  {"EntryKind": "Certificates", "Metadata": {}, "Spec": {}}
]}"""
VALID = {"kind": "download", "name": "first", "key": "k-1", "rate": "2.5"}


def decode(**changes):
    return decode_desired_state((DOCUMENT % {**VALID, **changes}).encode())


def test_a_document_with_a_download_route_and_unknown_entries_is_taken():
    # One unknown kind of entry or route used to leave the deployment without any policy.
    policy = decode()
    route = policy.find_route("a.example", "/files/x")
    assert route is not None and route.idempotent and route.anonymous
    assert policy.workspaces.of_key(b"k-1") == Workspace("first", None, 2.5, 3.0)
    assert policy.workspaces.of_key(b"k-2") == Workspace("second")


@pytest.mark.parametrize(
    "changes",
    [
        {"kind": "stream-of-a-kind-nobody-knows"},
        {"key": "k-2"},
        {"key": ""},
        {"name": "second"},
        {"name": ""},
        {"name": "a\\r\\nX: y"},
        {"rate": "-1"},
        {"rate": '"many"'},
    ],
)
def test_a_faulty_workspace_or_route_makes_the_whole_document_invalid(changes):
    with pytest.raises(BadDocument):
        decode(**changes)
