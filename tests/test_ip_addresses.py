"""Addresses in the settings: IPv4 and IPv6, and no name of a host, which would be looked up."""

import asyncio
import re

import pytest

from tests import mesh_builders, start_builders
from tests.ini_process_builders import IniProcess
from tests.mesh_builders import make_mesh_config, run_scenario
from tests.process_builders import PlatformProcess
from tests.start_builders import CallSeries
from thorntray.errors import InvalidSettings
from thorntray_node.mesh_config import Endpoint

IPV6_HOST = "::1"
SERVE_TIME = 5.0  # seconds
DISCOVERY_TIME = 10.0  # seconds until nodes know each other by the seeds in the store


def write_addresses(node, host):
    text = re.sub(r'"[0-9.]+:(\d+)"', rf'"{host}:\1"', node.text)
    node.settings.write_text(text, "utf-8")


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("10.1.0.8:8304", ("10.1.0.8", 8304)),
        ("[::1]:8304", ("::1", 8304)),
        ("[fd00:0::8]:1", ("fd00::8", 1)),
        (":8304", ("", 8304)),
    ],
)
def test_an_endpoint_is_parsed_and_written_in_the_same_form(text, expected):
    endpoint = Endpoint.parse(text)
    assert endpoint == expected
    assert Endpoint.parse(str(endpoint)) == endpoint


@pytest.mark.parametrize(
    "text", ["localhost:1", "[localhost]:1", "::1:8304", "10.1.0:1", "10.1.0.8", "10.1.0.8:x", ""]
)
def test_a_text_that_is_no_endpoint_is_refused(text):
    with pytest.raises(ValueError):
        Endpoint.parse(text)


# Failure: the name was looked up in the event loop, and the process ended with code 3.
def test_a_name_as_the_own_address_is_refused():
    cfg = make_mesh_config("n1", "tariff", 8301, "a")._replace(host="node.example")
    with pytest.raises(InvalidSettings, match="host.*node.example.*IP"):
        cfg.validated("boot.toml")


# Failure: exit code 3 for ever, "Name or service not known".
@pytest.mark.process
def test_a_process_with_ipv6_addresses_serves_callers(tmp_path):
    node = PlatformProcess(tmp_path, index=next(start_builders._indexes))
    write_addresses(node, f"[{IPV6_HOST}]")
    with node:
        node.wait_for_log("STARTED")
        with CallSeries((IPV6_HOST, start_builders.OUTBOUND_PORT)) as calls:
            assert calls.wait_answered(SERVE_TIME), node.log


# Failure: exit code 3, "Address invalid", as the URL of the documents lacked brackets.
@pytest.mark.process
def test_a_process_with_an_ini_file_and_an_ipv6_address_serves_callers(tmp_path):
    with IniProcess(tmp_path, host=IPV6_HOST) as node:
        node.wait_listening()
        node.process.terminate()
        assert node.wait_ended() == 0


def test_nodes_with_ipv6_addresses_find_and_call_each_other(monkeypatch):
    monkeypatch.setattr(mesh_builders, "HOST", IPV6_HOST)

    async def scenario(fleet):
        await fleet.add("t1", "tariff")
        await fleet.add("h1", "haul", domain="b")
        async with asyncio.timeout(DISCOVERY_TIME):
            while fleet.nodes["h1"].membership.view.get("t1") is None:
                await asyncio.sleep(0.05)
        return await fleet.get("h1", "/prices/1", "id-1")

    assert run_scenario(scenario).startswith(b"HTTP/1.1 200")
