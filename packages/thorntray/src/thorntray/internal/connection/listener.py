"""The socket on which a node takes messages of other nodes.

One task serves each context of the reply socket. There are as many as requests may be here at
once, running or queued, and some to spare, so that a refusal never waits behind running work.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pynng
from absl import logging

from thorntray.errors import BadMessage
from thorntray.internal.connection.message import (
    MAX_MESSAGE_BYTES,
    Message,
    Refusal,
    decode,
    encode,
)
from thorntray.internal.process.events import Event, log_event

SPARE_CONTEXTS = 64

Handler = Callable[[Message], Awaitable[Message]]


class Listener:
    """Takes messages and answers each with what the handler returns."""

    def __init__(self, address: str, port: int, handler: Handler) -> None:
        self._url = f"tcp://{address}:{port}"
        self._handler = handler
        self._socket: pynng.Rep0 | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.bad_messages = 0

    def start(self, contexts: int) -> None:
        """Listen; `contexts` is the number of requests that may be here at once."""
        self._socket = pynng.Rep0(listen=self._url, recv_max_size=MAX_MESSAGE_BYTES)
        self.grow(contexts)

    def grow(self, contexts: int) -> None:
        """Serve more requests at once; the number never falls."""
        wanted = contexts + SPARE_CONTEXTS
        while len(self._tasks) < wanted:
            task = asyncio.create_task(self._serve())
            self._tasks.add(task)

    async def close(self) -> None:
        """Stop taking messages and wait for the tasks to end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()

    async def _serve(self) -> None:
        assert self._socket is not None
        with self._socket.new_context() as context:
            await self._serve_context(context)

    async def _serve_context(self, context: pynng.Context) -> None:
        while True:
            try:
                data = await context.arecv()
                await context.asend(encode(await self._answer(data)))
            except pynng.Closed:
                return
            except pynng.NNGException as exc:
                # The peer is gone; its request has run or not, and nobody hears the answer.
                logging.debug("answer to a lost peer dropped: %s", exc)
                await asyncio.sleep(0)

    async def _answer(self, data: bytes) -> Message:
        try:
            message = decode(data)
        except BadMessage as exc:
            self.bad_messages += 1
            log_event(Event.BAD_MESSAGE, detail=str(exc))
            return Refusal(str(exc))
        try:
            return await self._handler(message)
        except Exception as exc:  # one faulty request must not end the task that serves others
            logging.exception("handler failed")
            log_event(Event.HANDLER_FAILED, detail=repr(exc))
            return Refusal("the node failed on this message; see its log")
