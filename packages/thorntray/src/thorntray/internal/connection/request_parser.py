"""Parser of requests that ignores offers to upgrade the connection.

The fault: `httptools` takes a request with `Connection: Upgrade` and `Upgrade` for complete at the
end of its head, and leaves the rest of the connection to another protocol. A server may ignore the
offer (RFC 9110, section 7.8), and this one speaks no other protocol. The caller then goes on with
the body of the request, so a request that was passed on at the end of its head ran without it.

The head of such a request is therefore parsed again without the offer, followed by what came behind
it. Until then `should_upgrade` tells the protocol that the request is not to be used. A `CONNECT`
request is left to the protocol, as all that follows it is meant for a tunnel.
"""

from typing import Any, Protocol

import httptools

from thorntray.internal.connection.http_request import Header

CONNECT = b"CONNECT"
_CONNECTION, _UPGRADE = b"connection", b"upgrade"


class ParserProtocol(Protocol):
    """The callbacks of `httptools`, and what they have been told of the current request."""

    @property
    def parsed_head(self) -> tuple[bytes, list[Header]]:
        """Return the target and the header fields of the current request."""
        ...


class RequestParser:
    """A parser of `httptools` for the requests of one connection.

    With `lenient_data_after_close`, requests behind one that closes the connection are parsed too.
    """

    __slots__ = ("_protocol", "_parser", "get_method", "should_keep_alive", "should_upgrade")
    __slots__ += ("_lenient",)

    def __init__(self, protocol: ParserProtocol, lenient_data_after_close: bool = False) -> None:
        self._protocol = protocol
        self._lenient = lenient_data_after_close
        self._begin()

    def _begin(self) -> None:
        parser: Any = httptools.HttpRequestParser(self._protocol)
        if self._lenient:
            parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._parser = parser
        self.get_method = parser.get_method
        self.should_keep_alive = parser.should_keep_alive
        self.should_upgrade = parser.should_upgrade

    def get_http_version(self) -> str:
        """Return the version of the current request, as `1.1`."""
        return self._parser.get_http_version()

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes.

        Raises `HttpParserUpgrade` at a `CONNECT` request, and `HttpParserError` at malformed input.
        """
        head = b""
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as exc:
                end_of_head = exc.args[0]
                if self.get_method() == CONNECT:
                    raise
                if head and end_of_head == len(head):
                    raise httptools.HttpParserError("an offer to upgrade is malformed") from exc
                head = self._head_without_offer()
                data = head + data[end_of_head:]
                self._begin()

    def _head_without_offer(self) -> bytes:
        target, headers = self._protocol.parsed_head
        version = self.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self.get_method(), target, version)]
        for name, value in headers:
            if name.lower() == _CONNECTION:
                value = b", ".join(_other_options(value))
            lines.append(b"%b: %b" % (name, value))
        return b"\r\n".join(lines) + b"\r\n\r\n"


def _other_options(value: bytes) -> list[bytes]:
    """Return the options of a Connection field other than `upgrade`."""
    options = [option.strip() for option in value.split(b",")]
    return [option for option in options if option.lower() != _UPGRADE]
