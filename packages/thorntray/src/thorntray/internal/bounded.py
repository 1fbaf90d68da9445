"""Types of numbers and names that come from outside and are sent, stored or computed with later.

Fault: a decoder takes what an encoder, a socket or the event loop does not: integers of any length,
ports above 65535, infinite times. An odd value that is accepted fails where it is used, far from
the message that brought it, and can end a task that serves all others. So each reader bounds what
it takes in, and a message with an odd value is refused as a malformed one is.
"""

from typing import Annotated

import msgspec

MAX_INT = 2**62  # leaves room for additions below the 64 bits that messages can carry
# Milliseconds since 1970 plus the changes of a record, some 100,000 years ahead. A node that
# refutes a record counts on from its version, so the bound is no number that others would write.
MAX_RECORD_VERSION = 3 * 2**50
MAX_SECONDS = 1e9  # about 30 years; the event loop takes no timers of any length
MAX_SLOTS = 1_000_000
MAX_PORT = 65535
MAX_NAME_LENGTH = 255

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]
RecordVersion = Annotated[int, msgspec.Meta(ge=0, le=MAX_RECORD_VERSION)]
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
UnixTime = Annotated[float, msgspec.Meta(ge=0, le=1e11)]  # seconds since 1970
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
