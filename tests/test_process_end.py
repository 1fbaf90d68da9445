"""The last line of a node process: cause and exit code on each path that ends it."""

import json
import os
import signal
import socket
import subprocess
import time

import pytest

from tests.ini_process_builders import HOST, IniProcess
from tests.process_builders import PlatformProcess
from tests.stop_fleet import read_answer
from thorntray.internal.telemetry.events import Event
from thorntray_node.process_end import EVENT_NAME, EVENT_NUMBER, ProcessEnd

FAILING_IMPORT = "raise ImportError('built for another architecture')"
SIGNAL_AT_IMPORT = """
import os, sys
os.kill(os.getpid(), {signum:d})
sys.path.remove(os.path.dirname(__file__))
del sys.modules["pynng"]
import pynng
"""
# The loop logs an `Exception` of a task or a callback; these go out of it.
FAILING_LOOP = """
from thorntray_node.settings_reload import SettingsReload
async def run(self):
    raise {exception}
SettingsReload.run = run
"""
CRASH = """
import faulthandler
from thorntray_node.settings_reload import SettingsReload
async def run(self):
    faulthandler._sigsegv()
SettingsReload.run = run
"""
FAILING_SERVER = """
from thorntray_node.http import NodeServer
async def serve(self, sockets):
    {ending}
NodeServer.serve = serve
"""


def last_line(text):
    """Return the fields of the last line of a log."""
    return json.loads(text.splitlines()[-1])


def end_of(node):
    """Return cause, code and step in the last line of a process that has ended."""
    code = node.wait_ended()
    line = last_line(node.log)
    assert (line["event"], line["name"], line["code"]) == (EVENT_NUMBER, EVENT_NAME, code)
    return line["cause"], code, line["step"]


def full_pipe():
    """Return the two ends of a pipe that takes no more."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(writer, b"x" * 1024)
    os.set_blocking(writer, True)
    return reader, writer


def with_module(node, name, source):
    (node.folder / "modules" / f"{name}.py").write_text(source, "utf-8")
    return node


def test_the_line_is_in_the_catalogue_of_events():
    assert (EVENT_NUMBER, EVENT_NAME) == (Event.PROCESS_ENDED.value.number, "PROCESS_ENDED")


@pytest.mark.process
def test_a_graceful_stop_is_the_cause_in_the_last_line(tmp_path):
    # Failure, here and below: nothing tells an end apart from a kill, or from another failure.
    with PlatformProcess(tmp_path) as node:
        node.wait_for_log("STARTED")
        node.process.terminate()
        assert end_of(node) == ("STOPPED", 0, "stop")
        assert last_line(node.log)["node"] == "single-1"


@pytest.mark.process
@pytest.mark.parametrize("step", ["start", "stop"])
def test_an_exception_in_the_start_or_the_stop_is_the_cause(tmp_path, step):
    with PlatformProcess(tmp_path, failing_step=step) as node:
        if step == "stop":
            node.wait_for_log("STARTED")
            node.process.terminate()
        assert end_of(node) == ("FAILED", 1, step)
        assert "a fault of the test" in last_line(node.log)["detail"]


@pytest.mark.process
def test_a_taken_port_is_the_cause(tmp_path):
    with PlatformProcess(tmp_path) as holder:
        holder.wait_for_log("STARTED")
        (tmp_path / "second").mkdir()
        with PlatformProcess(tmp_path / "second") as node:
            node.settings.write_text(holder.text, "utf-8")
            node.__exit__()
            node.start()
            assert end_of(node) == ("PORT_TAKEN", 3, "start")
            assert "the port for callers" in last_line(node.log)["detail"]


@pytest.mark.process
def test_invalid_settings_are_the_cause(tmp_path):
    node = PlatformProcess(tmp_path)
    node.settings.write_text("", "utf-8")
    with node:
        assert end_of(node) == ("INVALID_SETTINGS", 2, "settings")
        assert "'Self'" in last_line(node.log)["detail"]


# Failure of the ports: OverflowError at the bind, a FAILED with code 1.
@pytest.mark.process
@pytest.mark.parametrize("flag", ["--no_such_flag", "--metrics_port=70000", "--metrics_port=-1"])
def test_an_unknown_flag_or_value_is_the_cause(tmp_path, flag):
    with PlatformProcess(tmp_path, arguments=(flag,)) as node:
        assert end_of(node) == ("INVALID_FLAGS", 2, "settings")


@pytest.mark.process
def test_a_library_that_cannot_be_imported_is_the_cause(tmp_path):
    with with_module(PlatformProcess(tmp_path), "uvloop", FAILING_IMPORT) as node:
        assert end_of(node) == ("IMPORT_FAILED", 1, "import")
        assert "another architecture" in last_line(node.log)["detail"]


@pytest.mark.process
@pytest.mark.parametrize("exception", ["KeyboardInterrupt", "SystemExit(7)"])
def test_an_exception_that_ends_the_loop_is_the_cause(tmp_path, exception):
    source = FAILING_LOOP.format(exception=exception)
    with with_module(PlatformProcess(tmp_path), "sitecustomize", source) as node:
        node.wait_ended()
        line = last_line(node.log)
        assert (line["name"], line["code"]) == (EVENT_NAME, node.process.returncode)
        assert line["step"] == "start" and line["code"] != 0


@pytest.mark.process
def test_a_native_crash_leaves_its_stack(tmp_path):
    # Failure: a process that ends with SIGSEGV leaves nothing at all.
    with with_module(PlatformProcess(tmp_path), "sitecustomize", CRASH) as node:
        assert node.wait_ended() == -signal.SIGSEGV
        assert "Fatal Python error: Segmentation fault" in node.log and "in run" in node.log


@pytest.mark.process
@pytest.mark.parametrize("closed", [(0,), (1,), (2,)])
def test_the_line_is_written_with_closed_descriptors(tmp_path, closed):
    with PlatformProcess(tmp_path, closed=closed) as node:
        node.wait_for_log("STARTED")
        node.process.terminate()
        assert end_of(node) == ("STOPPED", 0, "stop")


@pytest.mark.process
def test_the_line_goes_to_standard_error_when_the_reader_of_the_log_has_gone(tmp_path):
    with PlatformProcess(tmp_path, piped=True) as node:
        node.connect().close()
        node.process.stdout.close()
        node.process.terminate()
        assert end_of(node) == ("STOPPED", 0, "stop")


@pytest.mark.process
def test_the_line_goes_to_standard_error_when_the_log_is_a_full_disk(tmp_path):
    with PlatformProcess(tmp_path, stdout="/dev/full") as node:
        node.connect().close()
        node.process.terminate()
        assert end_of(node) == ("STOPPED", 0, "stop")


@pytest.mark.process
def test_outputs_that_nobody_reads_do_not_hold_the_end(tmp_path):
    # Failure: the message about invalid settings is a blocking write to a full pipe.
    node = PlatformProcess(tmp_path)
    node.settings.write_text("", "utf-8")
    reader, writer = full_pipe()
    began = time.monotonic()
    node.process = subprocess.Popen(node.command, stdout=writer, stderr=writer, env=node.env)
    try:
        assert node.process.wait(10) == 2
    finally:
        node.__exit__()
        os.close(reader)
        os.close(writer)
    assert time.monotonic() - began < 8


@pytest.mark.process
def test_a_node_with_an_ini_file_serves_and_stops_while_nobody_reads_its_output(tmp_path):
    # Failure: the first log line blocks the event loop; callers wait, and SIGTERM does nothing.
    node = IniProcess(tmp_path)
    reader, writer = full_pipe()
    node.process = subprocess.Popen(node.command, stdout=writer, stderr=writer, env=node.env)
    try:
        node.wait_listening()
        with socket.create_connection((HOST, node.port), timeout=10) as caller:
            for signum in (signal.SIGUSR1, signal.SIGTERM):  # SIGUSR1 writes the state dump
                caller.sendall(b"GET /thorntray/status HTTP/1.1\r\nHost: a.example\r\n\r\n")
                assert read_answer(caller.makefile("rb"))[0] == 503  # not ready without a platform
                node.process.send_signal(signum)
        assert node.wait_ended() == 0
    finally:
        node.__exit__()
        os.close(reader)
        os.close(writer)


@pytest.mark.process
def test_a_node_with_an_ini_file_writes_the_line(tmp_path):
    with IniProcess(tmp_path) as node:
        node.wait_listening()
        node.process.terminate()
        assert end_of(node) == ("STOPPED", 0, "stop")
        assert last_line(node.log)["node"] == "tariff-1"


@pytest.mark.process
@pytest.mark.parametrize(
    ("arguments", "text", "end"),
    [
        ((), "", ("INVALID_SETTINGS", 2, "settings")),
        (("--no_such_flag",), None, ("INVALID_FLAGS", 1, "flags")),
        (("surplus",), None, ("INVALID_FLAGS", 1, "flags")),
    ],
)
def test_a_node_with_an_ini_file_that_does_not_start_writes_the_line(
    tmp_path, arguments, text, end
):
    node = IniProcess(tmp_path, arguments=arguments)
    if text is not None:
        node.settings.write_text(text, "utf-8")
    with node:
        assert end_of(node) == end


@pytest.mark.process
def test_a_node_with_an_ini_file_and_a_failing_import_writes_the_line(tmp_path):
    with IniProcess(tmp_path, modules={"pynng": FAILING_IMPORT}) as node:
        assert end_of(node) == ("IMPORT_FAILED", 1, "import")


@pytest.mark.process
def test_a_node_with_an_ini_file_and_a_taken_port_writes_the_line(tmp_path):
    with IniProcess(tmp_path) as holder:
        holder.wait_listening()
        (tmp_path / "second").mkdir()
        node = IniProcess(tmp_path / "second")
        node.settings.write_text(holder.text, "utf-8")
        with node:
            assert end_of(node) == ("PORT_TAKEN", 3, "start")


@pytest.mark.process
@pytest.mark.parametrize(
    ("ending", "detail"),
    [("raise OSError(24, 'no descriptor')", "no descriptor"), ("return", "ended before the stop")],
)
def test_a_server_that_ends_by_itself_is_the_cause_in_a_node_with_an_ini_file(
    tmp_path, ending, detail
):
    # Failure: the line says that a port cannot be opened, without a detail.
    modules = {"sitecustomize": FAILING_SERVER.format(ending=ending)}
    with IniProcess(tmp_path, modules=modules) as node:
        assert end_of(node) == ("FAILED", 1, "start")
        assert detail in last_line(node.log)["detail"]


@pytest.mark.process
@pytest.mark.parametrize("signum", [signal.SIGHUP, signal.SIGUSR1])
def test_a_signal_for_settings_or_the_dump_does_not_end_a_node_with_an_ini_file(tmp_path, signum):
    # Failure: a log rotation that sends SIGHUP to all services ends the node with what it owes.
    with IniProcess(tmp_path, modules={"pynng": SIGNAL_AT_IMPORT.format(signum=signum)}) as node:
        node.wait_listening()
        node.wait_for_log("E100")
        node.process.send_signal(signum)
        time.sleep(0.3)
        node.process.terminate()
        assert end_of(node) == ("STOPPED", 0, "stop")


@pytest.mark.process
def test_a_check_of_an_ini_file_writes_no_line(tmp_path):
    with IniProcess(tmp_path, arguments=("--check",)) as node:
        assert node.wait_ended() == 0
        assert node.log.endswith(": valid\n")


def test_outputs_without_a_descriptor_are_passed_over(capfd):
    end = ProcessEnd()
    assert end.run(lambda: lambda: 0, (None, open(os.devnull))) == 0
    assert capfd.readouterr().out == ""
