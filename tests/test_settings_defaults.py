"""Fields of the settings file that are missing or odd: a safe default, or a fault with its name."""

import json
import re
from math import inf

import pytest

from settings_file import (
    DEFAULT_RETRY_RATIO,
    DEFAULT_RETRY_SLACK,
    DEFAULT_RETRY_WINDOW,
    DEFAULT_REVOCATION_BOUND,
    DEFAULT_STOP_LIMIT,
    FILE_DESCRIPTORS,
    read_settings,
)
from tests.process_builders import PlatformProcess
from thorntray.errors import InvalidSettings
from thorntray.internal.process.descriptor_budget import LEAST_SERVING_LIMIT

BOUNDS = "Terms.Bounds"
DEFAULTS = {
    "GraceS": DEFAULT_STOP_LIMIT,
    "RetryBudgetRatio": DEFAULT_RETRY_RATIO,
    "BudgetSlack": DEFAULT_RETRY_SLACK,
    "BudgetWindowS": DEFAULT_RETRY_WINDOW,
    "RevokeS": DEFAULT_REVOCATION_BOUND,
}
TIMES = ("GraceS", "BudgetWindowS", "RevokeS")
BOM = "\ufeff"


@pytest.fixture
def node(tmp_path):
    return PlatformProcess(tmp_path)


def set_field(text, key, value):
    """Return the settings with another value of a field, without the field if it is None."""
    line = "" if value is None else f"{key} = {value}"
    changed, count = re.subn(rf"^{key} = .*$", line, text, flags=re.MULTILINE)
    assert count == 1
    return changed


def read(node, text, allow_defaults=True):
    node.settings.write_text(text, "utf-8")
    return read_settings(node.settings, allow_defaults)


def log_rows(node, name):
    rows = [json.loads(line) for line in node.log.splitlines() if line.startswith("{")]
    return [row for row in rows if row["name"] == name]


def start_and_stop(node):
    with node:
        node.wait_for_log("STARTED")
        node.process.terminate()
        assert node.wait_ended() == 0


# Issue 59: exit code 2 at each start.
@pytest.mark.process
@pytest.mark.parametrize(("keys", "value"), [(tuple(DEFAULTS), None), (TIMES, 0)])
def test_a_node_without_some_bounds_starts_and_logs_each_default(node, keys, value):
    text = node.text
    for key in keys:
        text = set_field(text, key, value)
    node.settings.write_text(text, "utf-8")
    start_and_stop(node)
    found = {row["field"]: row["value"] for row in log_rows(node, "SETTINGS_DEFAULT")}
    assert found == {f"{BOUNDS}.{key}": DEFAULTS[key] for key in keys}


# As above; no decision depends on the region, so nothing is waited for either.
@pytest.mark.process
def test_a_node_starts_at_once_without_region_and_with_a_byte_order_mark(node):
    node.settings.write_text(BOM + set_field(node.text, "Region", None), "utf-8")
    start_and_stop(node)
    assert [row["field"] for row in log_rows(node, "SETTINGS_DEFAULT")] == ["Self.Region"]
    assert not log_rows(node, "SETTINGS_AWAITED")


def test_complete_settings_use_no_defaults(node):
    assert read(node, node.text, allow_defaults=False).defaults == ()


@pytest.mark.parametrize("key", DEFAULTS)
@pytest.mark.parametrize("value", [None, '""'])
def test_a_missing_or_empty_bound_has_its_default_once_the_file_may_not_be_half_written(
    node, key, value
):
    text = set_field(node.text, key, value)
    assert dict(read(node, text).defaults) == {f"{BOUNDS}.{key}": DEFAULTS[key]}
    with pytest.raises(InvalidSettings, match=rf"\[{BOUNDS}\] {key} .*missing"):
        read(node, text, allow_defaults=False)


def test_a_bound_for_revocation_is_needed_only_where_revocation_is_strict(node):
    text = set_field(set_field(node.text, "StrictRevocation", "false"), "RevokeS", None)
    settings = read(node, text, allow_defaults=False)
    assert settings.mesh.max_policy_age is None and settings.defaults == ()


def test_no_bounds_at_all_are_defaults_but_a_file_cut_off_before_their_table_is_refused(node):
    start = node.text.index("[Terms.Bounds]")
    settings = read(node, node.text[:start] + '[Terms]\nContracts = ["base"]\n')
    assert len(settings.defaults) == len(DEFAULTS) - 1  # of RevokeS only if revocation is strict
    with pytest.raises(InvalidSettings, match="table 'Terms' is missing"):
        read(node, node.text[:start])


@pytest.mark.parametrize("key", DEFAULTS)
@pytest.mark.parametrize("value", ["-1", "nan", "inf", '"soon"', "true", "[1]"])
def test_a_bound_that_is_no_number_is_refused_with_its_name(node, key, value):
    with pytest.raises(InvalidSettings, match=rf"\[{BOUNDS}\] {key} = .*give a number"):
        read(node, set_field(node.text, key, value))


@pytest.mark.parametrize("key", ["NodeName", "Service", "Zone"])
@pytest.mark.parametrize("value", [None, '""', "7", f'"{"n" * 256}"'])
def test_a_name_that_is_missing_or_too_long_is_refused_with_its_field(node, key, value):
    with pytest.raises(InvalidSettings, match=rf"\[Self\] {key} = .*1 to 255 characters"):
        read(node, set_field(node.text, key, value))


ADDRESSES = ["Ip", "AppAddr", "Inbound", "Outbound", "Ready", "Control", "Address"]


# Failure: a name was looked up in the event loop, and the process ended with code 3.
@pytest.mark.parametrize("key", ADDRESSES)
@pytest.mark.parametrize("value", [None, '"node.example:8304"', '"10.1.0.8:0"', '"10.1.0.8:70000"'])
def test_an_address_that_is_missing_or_none_is_refused_with_its_field(node, key, value):
    with pytest.raises(InvalidSettings, match=rf"\] {key} = .*give (an IP|IP:PORT)"):
        read(node, set_field(node.text, key, value))


@pytest.mark.parametrize(
    ("value", "expected"),
    [("[7620]", [7620]), ("[7622,7620]", [7620, 7621, 7622]), ("[7620,7620]", [7620])],
)
def test_a_range_of_one_port_or_in_reverse_order_is_used(node, value, expected):
    cfg = read(node, set_field(node.text, "PortRange", value), allow_defaults=False).mesh
    assert [ports.links for ports in cfg.peer_ports()] == expected


@pytest.mark.parametrize(
    "value", [None, "[]", "7620", "[0,7620]", "[7620,70000]", '["a","b"]', "[1,2,3]"]
)
def test_a_range_of_other_values_is_refused_with_its_field(node, value):
    with pytest.raises(InvalidSettings, match=r"\[Network\] PortRange = .*first and the last port"):
        read(node, set_field(node.text, "PortRange", value))


def with_limit(node, limit):
    return node.text.replace("[Network]", f"[Self.Limits]\n{limit}\n[Network]", 1)


@pytest.mark.parametrize(
    "limit", ["MaxFds = -1", "MaxFds = true", "MaxFds = 'many'", "MaxFds = nan", "MemoryMb = -1"]
)
def test_a_limit_of_the_process_that_is_no_limit_is_refused_with_its_field(node, limit):
    with pytest.raises(InvalidSettings, match=rf"\[Self.Limits\] {limit.split()[0]} = .*or none"):
        read(node, with_limit(node, limit))


@pytest.mark.parametrize("value", [1, 100.5, 200])
def test_a_limit_that_leaves_no_descriptor_has_its_default_once_the_file_is_complete(node, value):
    text = with_limit(node, f"MaxFds = {value}")
    settings = read(node, text)
    assert settings.defaults == (("Self.Limits.MaxFds", FILE_DESCRIPTORS + LEAST_SERVING_LIMIT),)
    assert settings.mesh.descriptor_limit == LEAST_SERVING_LIMIT
    with pytest.raises(InvalidSettings, match=r"\[Self.Limits\] MaxFds = .*or none"):
        read(node, text, allow_defaults=False)


# Issue 59: exit code 2 at each start.
@pytest.mark.process
def test_a_node_whose_limit_leaves_no_descriptor_starts_and_logs_the_default(node):
    node.settings.write_text(with_limit(node, "MaxFds = 200"), "utf-8")
    start_and_stop(node)
    assert [row["field"] for row in log_rows(node, "SETTINGS_DEFAULT")] == ["Self.Limits.MaxFds"]


def test_all_faults_of_a_file_are_reported_together(node):
    text = set_field(set_field(node.text, "Service", None), "GraceS", str(-inf))
    with pytest.raises(InvalidSettings) as raised:
        read(node, text)
    assert [fault.key for fault in raised.value.faults] == ["Service", "GraceS"]
