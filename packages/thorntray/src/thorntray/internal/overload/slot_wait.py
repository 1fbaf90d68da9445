"""How long a request may wait for a slot at one instance before it is offered to another.

Load pattern: a service of many small instances is nearly full. At each moment a few of them have a
free slot, but no entry node knows which: its load reports are older than the time for which a slot
is in use. A request that waits its whole time at the instance it was sent to first waits beside
free slots. The first offers are therefore short. Each refusal brings a fresh report, and the last
offer, with the whole time, goes to the instance with the least expected time of those.
"""

SHORT_WAIT = 0.02  # seconds; about the time of a few messages between domains
SHORT_OFFERS = 2  # offers with a short wait, before those with the whole time


def longest_wait(whole_wait: float, refusals: int, others_left: bool) -> float:
    """Return the seconds that a request may wait at the next instance.

    `whole_wait` is in seconds, `refusals` the number of instances that were full, and `others_left`
    tells whether there is a further instance to offer it to.
    """
    if others_left and refusals < SHORT_OFFERS:
        return min(whole_wait, SHORT_WAIT)
    return whole_wait
