"""The process of a node with an INI file, from its flags to its exit code (see `main`)."""

import asyncio
import os
import signal
import socket
import sys
from contextlib import suppress
from pathlib import Path
from threading import Thread

import msgspec
import pynng
import uvloop
from absl import app, flags

from thorntray import InvalidSettings
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.stoppable_start import run_unless_stopped
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.telemetry.events import Event, configure_events, log_event
from thorntray.internal.telemetry.log_output import LogOutput, configure_output
from thorntray_node.config import NodeConfig
from thorntray_node.dump import state_dump
from thorntray_node.garbage import freeze_startup_objects
from thorntray_node.http import NodeServer, make_server
from thorntray_node.node import Node
from thorntray_node.process_end import Cause, ExitCode, process_end
from thorntray_node.process_signals import STOP_SIGNALS, handle_signals, ignore_signals
from thorntray_node.settings_wait import log_wait, wait_for_settings

HTTP_BACKLOG = 1024  # connections waiting to be accepted
CONNECTION_CLOSE_DELAY = 0.5  # seconds that open connections are served during the stop
MIN_CLOSE_TIME = 1.0  # seconds in which answers are sent after `drain_limit`

_CONFIG = flags.DEFINE_string("config", None, "Settings file of this node (INI).", required=True)
_CHECK = flags.DEFINE_bool("check", False, "Check the settings file and exit.")


def run_command() -> int:
    """Run the command; return its exit code, or raise `SystemExit` with it."""
    process_end.step = "flags"
    try:
        app.run(_main)
    except SystemExit as exc:
        if process_end.step == "flags" and exc.code:
            process_end.cause = Cause.INVALID_FLAGS  # absl has written the usage
        raise
    return 0


def _main(argv: list[str]) -> int:
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}; give --config FILE only")
    process_end.step = "settings"
    process_end.is_reported = not _CHECK.value
    try:
        cfg = _read_settings(Path(_CONFIG.value))
    except InvalidSettings as exc:
        process_end.explain(Cause.INVALID_SETTINGS, str(exc))
        return ExitCode.BAD_SETTINGS
    if _CHECK.value:
        print(f"{_CONFIG.value}: valid")
        return 0
    process_end.node = cfg.name
    configure_events(cfg.log_json, cfg.name)
    output = configure_output(sys.stderr.fileno(), cfg.log_json)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_serve(cfg, output))
    finally:
        output.flush_ready()


def _read_settings(path: Path) -> NodeConfig:
    """Return the settings; wait for a file that is being written, except to check it."""
    if _CHECK.value:
        return NodeConfig.from_file(path)
    return wait_for_settings(lambda: NodeConfig.from_file(path), SystemClock(), log_wait)


async def _serve(cfg: NodeConfig, output: LogOutput) -> int:
    tasks = BackgroundTasks()
    tasks.supervise(output.run)
    process_end.step = "start"
    node = Node.from_config(cfg)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    # Before the ports are opened, which may take seconds if one is taken.
    handle_signals(STOP_SIGNALS, stop.set)
    server = make_server(node)
    callers = _CallersSocket()
    try:
        started = await run_unless_stopped(node.start(callers), stop)
    except (OSError, pynng.NNGException) as exc:
        process_end.explain(Cause.PORT_TAKEN, f"cannot open the ports of {cfg.name}: {exc}")
        return ExitCode.CANNOT_BIND
    if not started:
        log_event(Event.STOPPED, step="start", unanswered=0)
        ignore_signals(STOP_SIGNALS)
        return 0
    freeze_startup_objects()
    handle_signals((signal.SIGUSR1,), lambda: _write_dump(node))
    serving = asyncio.create_task(server.serve(sockets=[callers.listener]))
    await asyncio.wait({serving, asyncio.create_task(stop.wait())}, return_when="FIRST_COMPLETED")
    if serving.done():
        serving.result()  # raises what has ended the server
        raise RuntimeError("the HTTP server ended before the stop")
    process_end.step = "stop"
    stop_at = loop.time() + cfg.drain_limit
    await node.drain()
    await _stop_accepting_callers(server)
    server.config.timeout_graceful_shutdown = max(MIN_CLOSE_TIME, stop_at - loop.time())
    server.should_exit = True
    await serving
    await node.stop()
    ignore_signals((*STOP_SIGNALS, signal.SIGUSR1))
    return 0


class _CallersSocket:
    """The socket for callers; they wait in its backlog until uvicorn accepts them.

    Opened by the node, because uvicorn exits the process when it cannot open the port.
    """

    listener: socket.socket

    async def serve(self, sock: socket.socket) -> None:
        """Listen; raises `OSError` if that fails, and closes the socket."""
        try:
            sock.listen(HTTP_BACKLOG)
        except OSError:
            sock.close()
            raise
        self.listener = sock


async def _stop_accepting_callers(server: NodeServer) -> None:
    """Close the listeners, but serve the open connections for `CONNECTION_CLOSE_DELAY`.

    Closing both at the same time would reset connections with a request in transit. While the
    node drains, every response has `Connection: close`, so the callers close the connections.
    """
    await server.stop_listening()
    await asyncio.sleep(CONNECTION_CLOSE_DELAY)


def _write_dump(node: Node) -> None:
    log_event(Event.DUMP_WRITTEN)
    dump = msgspec.json.encode(state_dump(node)) + b"\n"
    # The write blocks while the reader of a pipe is slow, for good if there is none.
    Thread(target=_write_all, args=(sys.stderr.fileno(), dump), daemon=True).start()


def _write_all(descriptor: int, data: bytes) -> None:
    with suppress(OSError):  # the reader has gone
        while data:
            data = data[os.write(descriptor, data) :]
