"""Command line of the node: `thorntray-node --config node.ini`.

Exit codes: 0 after a graceful stop or a successful `--check`, 2 for invalid settings, 3 when a
port cannot be bound.
"""

import asyncio
import gc
import signal
import socket
import sys
from pathlib import Path

import msgspec
import pynng
import uvloop
from absl import app, flags, logging

from thorntray import InvalidSettings
from thorntray.internal.telemetry.events import Event, configure_events, log_event
from thorntray_node.config import NodeConfig
from thorntray_node.dump import state_dump
from thorntray_node.http import NodeServer, make_server
from thorntray_node.node import Node
from thorntray_node.process_signals import (
    STOP_SIGNALS,
    handle_signals,
    ignore_signals,
    reset_stop_signals,
)

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_BIND = 3
HTTP_BACKLOG = 1024  # connections waiting to be accepted
CONNECTION_CLOSE_DELAY = 0.5  # seconds that open connections are served during the stop
MIN_CLOSE_TIME = 1.0  # seconds in which answers are sent after `drain_limit`

_CONFIG = flags.DEFINE_string("config", None, "Settings file of this node (INI).", required=True)
_CHECK = flags.DEFINE_bool("check", False, "Check the settings file and exit.")


def run() -> None:
    """Entry point of the `thorntray-node` command."""
    reset_stop_signals()
    app.run(_main)


def _main(argv: list[str]) -> int:
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}; give --config FILE only")
    try:
        cfg = NodeConfig.from_file(Path(_CONFIG.value))
    except InvalidSettings as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if _CHECK.value:
        print(f"{_CONFIG.value}: valid")
        return 0
    _set_up_log(cfg)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(cfg))


def _set_up_log(cfg: NodeConfig) -> None:
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    if cfg.log_json:
        logging.get_absl_handler().setFormatter(None)
    configure_events(cfg.log_json, cfg.name)


async def _serve(cfg: NodeConfig) -> int:
    node = Node.from_config(cfg)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    # Before the port is bound, since a caller's connection is open from then on.
    handle_signals(STOP_SIGNALS, stop.set)
    if signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN:  # as `nohup` sets it
        handle_signals((signal.SIGHUP,), stop.set)
    ignore_signals((signal.SIGUSR1,))
    try:
        # Bound here, because uvicorn exits the process when it cannot bind the port.
        listener = socket.create_server((cfg.address, cfg.http_port), backlog=HTTP_BACKLOG)
        await node.start()
    except (OSError, pynng.NNGException) as exc:
        print(
            f"cannot open the ports of {cfg.name}: {exc}; check that they are free", file=sys.stderr
        )
        return EXIT_CANNOT_BIND
    server = make_server(node)
    _freeze_startup_objects()
    handle_signals((signal.SIGUSR1,), lambda: _write_dump(node))
    serving = asyncio.create_task(server.serve(sockets=[listener]))
    await asyncio.wait({serving, asyncio.create_task(stop.wait())}, return_when="FIRST_COMPLETED")
    if serving.done():
        return EXIT_CANNOT_BIND
    stop_at = loop.time() + cfg.drain_limit
    await node.drain()
    await _stop_accepting_callers(server)
    server.config.timeout_graceful_shutdown = max(MIN_CLOSE_TIME, stop_at - loop.time())
    server.should_exit = True
    await serving
    await node.stop()
    ignore_signals((*STOP_SIGNALS, signal.SIGHUP, signal.SIGUSR1))
    return 0


async def _stop_accepting_callers(server: NodeServer) -> None:
    """Close the listeners, but serve the open connections for `CONNECTION_CLOSE_DELAY`.

    Closing both at the same time would reset connections with a request in transit. While the
    node drains, every response has `Connection: close`, so the callers close the connections.
    """
    await server.stop_listening()
    await asyncio.sleep(CONNECTION_CLOSE_DELAY)


def _freeze_startup_objects() -> None:
    """Exclude the objects that exist after start-up from garbage collection.

    Full collections that traversed the objects of all imported libraries paused every call for
    tens of milliseconds. Reference cycles created later are still collected.
    """
    gc.collect()
    gc.freeze()


def _write_dump(node: Node) -> None:
    log_event(Event.DUMP_WRITTEN)
    sys.stderr.write(msgspec.json.encode(state_dump(node)).decode() + "\n")
    sys.stderr.flush()
