"""A node's settings file: every value checked, all faults together, each with its remedy."""

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
GOOD = {
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


def text(sections):
    return "\n".join(
        f"[{section}]\n" + "\n".join(f"{key} = {value}" for key, value in values.items())
        for section, values in sections.items()
    )


def changed(section, key, value):
    return {**GOOD, section: {**GOOD.get(section, {}), key: value}}


def test_a_good_file_is_taken():
    cfg = NodeConfig.from_text(text(GOOD), "node.ini")
    assert cfg.service == "tariff" and len(cfg.team_keys["himal"]) == 1


@pytest.mark.parametrize(
    ("section", "key", "value", "words"),
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
def test_each_fault_names_section_key_value_and_remedy(section, key, value, words):
    with pytest.raises(InvalidSettings) as caught:
        NodeConfig.from_text(text(changed(section, key, value)), "node.ini")
    message = str(caught.value)
    assert words in message and f"[{section}]" in message


def test_all_faults_of_a_file_are_reported_together():
    bad = {"node": {"name": "", "address": "x"}}
    with pytest.raises(InvalidSettings) as caught:
        NodeConfig.from_text(text(bad), "node.ini")
    assert len(caught.value.faults) >= 10


@given(st.text(max_size=200))
def test_any_text_is_taken_or_refused_with_a_typed_error(anything):
    try:
        NodeConfig.from_text(anything, "node.ini")
    except InvalidSettings:
        pass


def test_a_node_whose_port_is_taken_names_it_and_exits_with_three(tmp_path):
    file = tmp_path / "node.ini"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = str(taken.getsockname()[1])
        file.write_text(text(changed("node", "http_port", port)), "utf-8")
        node = [sys.executable, "-c", "from thorntray_node.main import run; run()"]
        done = subprocess.run(
            [*node, f"--config={file}"], capture_output=True, text=True, timeout=30
        )
    assert done.returncode == 3 and "cannot open the ports of tariff-1" in done.stderr


def test_the_binaries_report_faults_and_exit_with_two(tmp_path):
    file = tmp_path / "node.ini"
    file.write_text(text(changed("node", "address", "nowhere")), "utf-8")
    node = [sys.executable, "-c", "from thorntray_node.main import run; run()"]
    done = subprocess.run(
        [*node, f"--config={file}", "--check"], capture_output=True, text=True, cwd=ROOT
    )
    assert done.returncode == 2 and "IP number" in done.stderr
    ctl = [sys.executable, "-c", "from thorntrayctl.main import run; run()"]
    done = subprocess.run([*ctl, "check", str(tmp_path)], capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 2 and "unknown section" in done.stderr
