"""Which part of a node, or beyond it, holds a request that has no answer yet.

The log names it for each request that ends without the answer of its instance in a stop, so that
the place of a loss can be told without a reproduction.
"""

from enum import Enum
from typing import TYPE_CHECKING

from thorntray.internal.connection.exchange import Exchange

if TYPE_CHECKING:
    from thorntray.internal.request.origin_request import OriginRequest


class Holder(Enum):
    """Who held a request last; the values appear in the log."""

    PARSER = "parser"  # it was not read completely, or was malformed
    ORIGIN = "origin"  # it was with no member: before the first attempt or between two
    LINK = "link"  # it was sent to another node, which has not answered
    OWNER = "owner"  # it waited for a slot of the own instance
    INSTANCE = "instance"  # the own instance was sent it
    OUTPUT = "output"  # it has an answer, behind that of an earlier request or not yet sent


def holder_of_request(request: "OriginRequest") -> Holder:
    """Return who holds a request at its origin."""
    at_owner = request.owner_request
    if at_owner is not None and not at_owner.finished:
        return Holder.OWNER if at_owner.instance_call is None else Holder.INSTANCE
    return Holder.ORIGIN if request.link is None else Holder.LINK


def holder_of_exchange(exchange: Exchange, request: "OriginRequest | None") -> Holder:
    """Return who holds an exchange; `request` is the one that has been started for it, if any."""
    if not exchange.request.headers:
        return Holder.PARSER
    if exchange.responded:
        return Holder.OUTPUT
    return Holder.ORIGIN if request is None else holder_of_request(request)
