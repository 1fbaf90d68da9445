"""The port of the metrics while another socket holds it: attempts, log lines, and their end."""

import asyncio

import pytest

from standins.fleet import free_port
from tests.builders import run_virtual
from tests.mesh_builders import HOST
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.drain import Drain
from thorntray.internal.telemetry.events import Event
from thorntray.internal.telemetry.node_metrics import NodeMetrics
from thorntray_node import metrics_endpoint
from thorntray_node.metrics_endpoint import RETRY_PERIOD, MetricsEndpoint


class TakenPort:
    """A server's port that is free from one of the attempts on; the errors are those given."""

    def __init__(self, errors):
        self.attempts = 0
        self._errors = errors

    async def start(self, host, port):
        """Fail with the next error; succeed if there is none left."""
        self.attempts += 1
        if self.attempts <= len(self._errors):
            raise OSError(self._errors[self.attempts - 1])


class Endpoint:
    """The metrics of a node whose port has `errors`, and the events that it logs."""

    def __init__(self, monkeypatch, errors, port=9100):
        self.events = []
        self.drain = Drain(4.0, SystemClock())
        self.metrics = MetricsEndpoint(HOST, port, NodeMetrics(), self.drain, SystemClock())
        self.port = self.metrics.server = TakenPort(errors)
        monkeypatch.setattr(metrics_endpoint, "log_event", lambda event, **_: self.log(event))

    def log(self, event):
        """Record an event."""
        self.events.append(event)

    async def run(self):
        """Open the port, and try again as a node does."""
        await self.metrics.try_serve()
        await self.metrics.serve_when_free()


# Failure: after one attempt, metrics were missing until the next restart.
def test_the_port_is_tried_until_it_is_free_and_not_again(monkeypatch):
    endpoint = Endpoint(monkeypatch, ["taken"] * 5)
    run_virtual(asyncio.wait_for(endpoint.run(), 100 * RETRY_PERIOD))
    assert endpoint.port.attempts == 6
    assert endpoint.events == [Event.METRICS_NOT_SERVED, Event.PORTS_BOUND]


# Failure: one line each second for as long as the port is taken.
def test_a_fault_is_logged_when_it_changes(monkeypatch):
    endpoint = Endpoint(monkeypatch, ["taken", "taken", "missing", "missing"])
    run_virtual(asyncio.wait_for(endpoint.run(), 100 * RETRY_PERIOD))
    assert endpoint.events.count(Event.METRICS_NOT_SERVED) == 2


# Failure: a port is opened after the stop has closed the others, and its connections are reset.
def test_a_node_that_stops_does_not_open_the_port_any_more(monkeypatch):
    endpoint = Endpoint(monkeypatch, ["taken"])

    async def stop_while_waiting():
        running = asyncio.create_task(endpoint.run())
        await asyncio.sleep(RETRY_PERIOD / 2)
        endpoint.drain.begin()
        await asyncio.wait_for(running, 2 * RETRY_PERIOD)

    run_virtual(stop_while_waiting())
    assert endpoint.port.attempts == 1


def test_without_a_port_nothing_is_opened(monkeypatch):
    # Failure: port 0 opens any free port.
    endpoint = Endpoint(monkeypatch, [], port=0)
    run_virtual(endpoint.run())
    assert (endpoint.port.attempts, endpoint.events) == (0, [])


@pytest.mark.parametrize("closed", [True, False])
def test_metrics_that_wait_for_their_port_answer_on_it(closed):
    # Failure: an attempt that fails leaves a socket behind, and no later one succeeds.
    number = free_port()

    async def work():
        holder = await asyncio.start_server(lambda *_: None, HOST, number)
        endpoint = MetricsEndpoint(
            HOST, number, NodeMetrics(), Drain(4.0, SystemClock()), SystemClock()
        )
        await endpoint.try_serve()
        if closed:
            holder.close()
            await holder.wait_closed()
        await endpoint.try_serve()
        serves = endpoint.server._server is not None
        endpoint.server.close()
        holder.close()
        return serves

    assert asyncio.run(work()) is closed
