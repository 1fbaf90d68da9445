"""Signals and failures at the start and the end of a real node process on the platform."""

import json
import logging
import os
import signal
import time

import pytest

from tests.process_builders import FAILURE, POLL_PERIOD, REQUEST, STOP_TIMEOUT, PlatformProcess
from thorntray.internal.process.drain import READINESS_PROPAGATION_DELAY
from thorntray.internal.telemetry.log_output import FLUSH_PERIOD, LogOutput

pytestmark = pytest.mark.process


# `signal` imports `enum`: SIGHUP is ignored before the first module that is not built in.
@pytest.mark.parametrize("module", ["enum", "signal", "uvloop"])
@pytest.mark.parametrize("options", [(), ("-S",)])
def test_a_change_of_settings_during_the_imports_does_not_end_the_process(
    tmp_path, module, options
):
    with PlatformProcess(tmp_path, gated=True, gated_module=module, options=options) as node:
        node.send_while_importing(signal.SIGHUP)
        node.connect().close()
        node.wait_for_log("STARTED")
        node.process.send_signal(signal.SIGHUP)
        node.wait_for_log("SETTINGS_CHANGED")
        node.process.terminate()
        assert node.wait_ended() == 0


def test_a_stop_during_the_imports_ends_the_process_at_once(tmp_path):
    with PlatformProcess(tmp_path, gated=True) as node:
        node.send_while_importing(signal.SIGTERM)
        assert node.wait_ended() == -signal.SIGTERM
        assert "DRAIN_BEGUN" not in node.log


def test_a_stop_right_after_the_first_connection_answers_its_request(tmp_path):
    with PlatformProcess(tmp_path) as node, node.connect() as caller:
        node.process.terminate()
        caller.sendall(REQUEST)
        answer = caller.recv(1 << 16)
        assert answer.startswith(b"HTTP/1.1 503"), node.log
        assert node.wait_ended() == 0
        assert "DRAIN_ENDED" in node.log


def test_an_interrupt_drains_like_a_stop(tmp_path):
    with PlatformProcess(tmp_path) as node, node.connect() as caller:
        node.wait_for_log("STARTED")
        node.process.send_signal(signal.SIGINT)
        caller.sendall(REQUEST)
        assert caller.recv(1 << 16).startswith(b"HTTP/1.1 503")
        assert node.wait_ended() == 0
        assert "DRAIN_ENDED" in node.log


def test_further_signals_until_the_exit_do_not_shorten_a_stop(tmp_path):
    with PlatformProcess(tmp_path) as node:
        node.connect().close()
        node.wait_for_log("STARTED")
        began = time.monotonic()
        while node.process.poll() is None and time.monotonic() - began < STOP_TIMEOUT:
            node.process.terminate()
            node.process.send_signal(signal.SIGHUP)
            time.sleep(POLL_PERIOD)
        assert node.wait_ended() == 0
        assert time.monotonic() - began >= READINESS_PROPAGATION_DELAY


def test_a_log_whose_reader_has_gone_ends_neither_the_node_nor_its_stop(tmp_path):
    with PlatformProcess(tmp_path, piped=True) as node, node.connect() as caller:
        node.process.stdout.close()
        node.process.send_signal(signal.SIGHUP)  # writes a line to the closed pipe
        time.sleep(4 * FLUSH_PERIOD)
        caller.sendall(REQUEST)
        assert caller.recv(1 << 16).startswith(b"HTTP/1.1 503")
        node.process.terminate()
        assert node.wait_ended() == 0


def test_a_line_that_cannot_be_written_is_counted_as_dropped():
    reader, writer = os.pipe()
    output = LogOutput(writer)
    output.emit(logging.LogRecord("any", logging.INFO, "", 0, "a line", (), None))
    os.close(reader)
    output.flush_ready()
    os.close(writer)
    assert output.dropped == 1


@pytest.mark.parametrize(
    ("message", "args"), [("%d of %d", (1,)), ("\ud800", ())], ids=["arguments", "surrogate"]
)
def test_a_line_that_cannot_be_formatted_is_counted_as_dropped(message, args):
    # Failure: the log call of a library raises, in whatever it was doing.
    reader, writer = os.pipe()
    output = LogOutput(writer)
    output.emit(logging.LogRecord("absl", logging.ERROR, "", 0, message, args, None))
    os.close(reader)
    os.close(writer)
    assert output.dropped == 1


@pytest.mark.parametrize("step", ["start", "stop"])
def test_a_failing_start_or_stop_ends_the_process_with_a_log_line(tmp_path, step):
    with PlatformProcess(tmp_path, failing_step=step) as node:
        if step == "stop":
            node.connect().close()
            node.process.terminate()
        assert node.wait_ended() == 1
        failures = [json.loads(line) for line in node.log.splitlines() if "NODE_FAILED" in line]
        assert [(row["step"], row["detail"]) for row in failures] == [(step, FAILURE)]
