"""What the connection pool to the instance passes on: a complete response, or the fault."""

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from thorntray.internal.connection.http_request import Header


class ResponseFault(Enum):
    """Why a request got no valid response."""

    UNREACHABLE = auto()  # no open connection could be obtained; nothing was sent
    NO_DESCRIPTOR = auto()  # as `UNREACHABLE`, for want of a descriptor in this process
    LOST = auto()  # the connection ended after the request was sent
    GARBLED = auto()  # the received bytes are not a valid response to this request


class InstanceResponse(NamedTuple):
    """A complete response of the instance."""

    status: int
    headers: list[Header]
    body: bytes


ResponseHandler = Callable[[InstanceResponse | ResponseFault], None]
