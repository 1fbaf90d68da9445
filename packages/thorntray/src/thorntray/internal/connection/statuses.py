"""Which HTTP statuses are valid in a response (RFC 9110, section 15).

The fault: an instance in trouble answers with a status such as 000. It says neither that the
request succeeded nor that it failed, so it must not be passed on, nor count as a success.
"""

SWITCHING_PROTOCOLS = 101


def is_final(status: int) -> bool:
    """Return whether a status ends the wait for a response."""
    return 200 <= status <= 599


def is_interim(status: int) -> bool:
    """Return whether a final response follows.

    None follows 101, which only answers a request that asked for it; this program sends none.
    """
    return 100 <= status <= 199 and status != SWITCHING_PROTOCOLS
