"""The node's settings file: all values are checked, and all faults reported with a remedy."""

import socket
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.fleet import ROOT
from thorntray.errors import InvalidSettings
from thorntray_node.config import NodeConfig

KEY = "ab" * 32
VALID_SECTIONS = {
    "node": {
        "name": "tariff-1",
        "address": "127.0.0.1",
        "http_port": "8001",
        "peer_port": "8002",
        "document_port": "8003",
        "gossip_port": "8004",
        "domain": "kalimati",
        "region": "bagmati",
        "service": "tariff",
        "upstream": "http://127.0.0.1:9001",
    },
    "platform": {"endpoints": "http://127.0.0.1:2379"},
    "team himal": {"public_keys": KEY},
}


def to_ini(sections):
    return "\n".join(
        f"[{section}]\n" + "\n".join(f"{key} = {value}" for key, value in values.items())
        for section, values in sections.items()
    )


def with_value(section, key, value):
    return {**VALID_SECTIONS, section: {**VALID_SECTIONS.get(section, {}), key: value}}


def test_a_valid_file_is_accepted():
    cfg = NodeConfig.from_text(to_ini(VALID_SECTIONS), "node.ini")
    assert cfg.service == "tariff" and len(cfg.team_keys["himal"]) == 1


@pytest.mark.parametrize(
    ("section", "key", "value", "expected_text"),
    [
        ("node", "address", "localhost", "IP number"),
        ("node", "http_port", "eighty", "port from 1 to 65535"),
        ("node", "peer_port", "8001", "another port than http_port"),
        ("node", "upstream", "https://x", "http://IP-NUMBER:PORT"),
        ("node", "drain_limit", "0", "seconds from 1 to 600"),
        ("node", "colour", "red", "unknown key"),
        ("platform", "endpoints", "", "platform's URLs"),
        ("seeds", "addresses", "10.0.0.1", "IP-NUMBER:PORT"),
        ("metrics", "statsd", "here", "IP-NUMBER:PORT"),
        ("log", "form", "xml", "text, json"),
        ("team himal", "public_keys", "abc", "64 hexadecimal digits"),
        ("shelf", "a", "b", "unknown section"),
    ],
)
def test_each_fault_names_section_key_value_and_remedy(section, key, value, expected_text):
    with pytest.raises(InvalidSettings) as caught:
        NodeConfig.from_text(to_ini(with_value(section, key, value)), "node.ini")
    message = str(caught.value)
    assert expected_text in message and f"[{section}]" in message


# Failure: the value passed the check for digits, and `float` raised an untyped error (exit code 1).
@pytest.mark.parametrize("value", ["²", "٣", "1" * 5000])
def test_a_limit_in_digits_that_are_no_number_from_1_to_600_is_refused(value):
    with pytest.raises(InvalidSettings, match="drain_limit.*seconds from 1 to 600"):
        NodeConfig.from_text(to_ini(with_value("node", "drain_limit", value)), "node.ini")


# Failure: exit code 2, "File contains no section headers".
def test_a_byte_order_mark_is_skipped(tmp_path):
    file = tmp_path / "node.ini"
    file.write_text("\ufeff" + to_ini(VALID_SECTIONS), "utf-8")
    assert NodeConfig.from_file(file).name == "tariff-1"


# Failure: only the form without brackets was accepted, in which the port is ambiguous.
@pytest.mark.parametrize("value", ["[::1]:7000", "::1:7000"])
def test_an_ipv6_seed_is_accepted_with_brackets_and_as_before_without(value):
    cfg = NodeConfig.from_text(to_ini(with_value("seeds", "addresses", value)), "node.ini")
    assert cfg.seeds == (("::1", 7000),)


@pytest.mark.parametrize("value", ["[127.0.0.1]:7000", "[::1:7000", "::1]:7000"])
def test_a_seed_with_misplaced_brackets_is_refused(value):
    with pytest.raises(InvalidSettings, match="seeds"):
        NodeConfig.from_text(to_ini(with_value("seeds", "addresses", value)), "node.ini")


def test_all_faults_of_a_file_are_reported_together():
    bad = {"node": {"name": "", "address": "x"}}
    with pytest.raises(InvalidSettings) as caught:
        NodeConfig.from_text(to_ini(bad), "node.ini")
    assert len(caught.value.faults) >= 10


@given(st.text(max_size=200))
def test_any_text_is_accepted_or_raises_invalid_settings(anything):
    try:
        NodeConfig.from_text(anything, "node.ini")
    except InvalidSettings:
        pass


def test_a_node_whose_port_is_in_use_reports_it_and_exits_with_three(tmp_path):
    file = tmp_path / "node.ini"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = str(taken.getsockname()[1])
        file.write_text(to_ini(with_value("node", "http_port", port)), "utf-8")
        node = [sys.executable, "-c", "from thorntray_node.main import run; run()"]
        done = subprocess.run(
            [*node, f"--config={file}"], capture_output=True, text=True, timeout=30
        )
    assert done.returncode == 3 and "cannot open the ports of tariff-1" in done.stderr


def test_the_commands_report_faults_and_exit_with_two(tmp_path):
    file = tmp_path / "node.ini"
    file.write_text(to_ini(with_value("node", "address", "nowhere")), "utf-8")
    node = [sys.executable, "-c", "from thorntray_node.main import run; run()"]
    done = subprocess.run(
        [*node, f"--config={file}", "--check"], capture_output=True, text=True, cwd=ROOT
    )
    assert done.returncode == 2 and "IP number" in done.stderr
    ctl = [sys.executable, "-c", "from thorntrayctl.main import run; run()"]
    done = subprocess.run([*ctl, "check", str(tmp_path)], capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 2 and "unknown section" in done.stderr
