"""Bodies at the servers for readiness and announcements, which no budget of memory counts."""

import asyncio

import pytest

from tests.mesh_builders import HOST, run_scenario

TIMEOUT = 5.0  # seconds
HEAD = b"POST /v1/instances/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n"


async def post(endpoint, length, body):
    """Return the first line of the answer to a request, of which only `body` is sent."""
    reader, writer = await asyncio.open_connection(HOST, endpoint.port)
    async with asyncio.timeout(TIMEOUT):
        writer.write(HEAD % length + body)
        line = await reader.readline()
    writer.close()
    return line


# Failure: 24 connections with bodies of 64 MB each exceeded the limit of the process.
@pytest.mark.parametrize("server", ["readiness", "announcements"])
def test_a_large_body_at_a_server_that_needs_none_is_refused_by_its_length(server):
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        endpoint = getattr(node.cfg, server)
        refused = await post(endpoint, 1_000_000, b"x" * 1000)
        served = await post(endpoint, 10_000, b"x" * 10_000)
        return refused, served

    refused, served = run_scenario(scenario)
    assert refused.startswith(b"HTTP/1.1 413")
    assert not served.startswith(b"HTTP/1.1 413") and served
