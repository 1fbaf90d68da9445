"""Applies changes of the settings file to a running node.

The file is read when the process is told so and when it has changed without a signal. It is taken
as a whole: one with a fault changes nothing. Addresses, ports and names are bound at the start;
if the file changes them, the log names the fields, and the rest is applied.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from thorntray.errors import InvalidSettings
from thorntray.internal.telemetry.events import Event, log_event
from thorntray_node.mesh_config import MeshConfig

CHECK_PERIOD = 2.0  # seconds between checks whether the file has changed
RELOADABLE_FIELDS = frozenset({"budget", "stop_limit"})


class SettingsReload:
    """Reads the settings file again, and applies what can be changed at run time."""

    def __init__(
        self,
        path: Path,
        read: Callable[[], MeshConfig],
        in_force: MeshConfig,
        apply: Callable[[MeshConfig], None],
    ) -> None:
        self._path = path
        self._read = read
        self._in_force = in_force
        self._apply = apply
        self._requested = asyncio.Event()
        self._seen = self._file_state()
        self._is_checked = False  # whether the file says what was read of it at the start

    def request(self) -> None:
        """Have the file read again at once, also if it looks unchanged."""
        self._requested.set()

    async def run(self) -> None:
        """Read the file whenever it has changed or a request was made."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_PERIOD):
                    await self._requested.wait()
            file_state = self._file_state()
            changed = file_state != self._seen or self._differs_from_start()
            if self._requested.is_set() or changed:
                self._requested.clear()
                self._seen = file_state
                self.reload()

    def reload(self) -> None:
        """Read the file and apply it; log what changed, or why nothing did."""
        try:
            cfg = self._read()
        except InvalidSettings as exc:
            log_event(Event.SETTINGS_REFUSED, detail=str(exc))
            return
        changed = [
            name for name in cfg._fields if getattr(cfg, name) != getattr(self._in_force, name)
        ]
        applied = [name for name in changed if name in RELOADABLE_FIELDS]
        if applied:
            self._in_force = self._in_force._replace(
                **{name: getattr(cfg, name) for name in applied}
            )
            self._apply(self._in_force)
        log_event(
            Event.SETTINGS_CHANGED,
            applied=applied,
            need_restart=[name for name in changed if name not in RELOADABLE_FIELDS],
        )

    def _differs_from_start(self) -> bool:
        """Return, at the first call, whether the file has changed since it was read at the start.

        The state of the file in `_seen` is later than that, and may be that of a change.
        """
        if self._is_checked:
            return False
        self._is_checked = True
        try:
            return self._read() != self._in_force
        except InvalidSettings:
            return True

    def _file_state(self) -> tuple[int, int] | None:
        """Return what differs after each change of the file, None if there is no file."""
        try:
            state = self._path.stat()
        except OSError:
            return None
        return state.st_mtime_ns, state.st_size
