"""Adaptive concurrency limit of one upstream instance.

The limit starts from the slots in the settings and never passes them. Two signals lower it:

* refusals and connection failures of the instance: multiplicative decrease, at most once per
  window;
* own latency (time in nested calls taken out) well above its baseline: a trial cut.

The trial is the point. Latency alone cannot tell an instance that is overloaded by its own
concurrency from one whose work has become slower: for the second, a gradient or Vegas-like
limit shrinks to a fraction although all slots are useful, and goodput falls with it. So a cut
made for latency is kept only if throughput did not fall with it; otherwise the limit returns
and the slower latency becomes the new baseline. Each quiet window raises the limit again.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto

from thorntray.internal.process.clock import Clock

WINDOW = 0.5  # seconds between decisions
MIN_SAMPLES = 8  # in a window, below which it is taken for quiet
TRIAL_SAMPLES = 40  # in a window that decides on a cut; fewer compare chance with chance
SUSPICION_TIME = 5.0  # seconds of high latency at full use before a cut is tried
MAX_TRIAL_WINDOW = 4.0  # seconds after which a trial with fewer samples is given up
SETTLE_LATENCIES = 1.5  # after a cut, before its effect is counted
REFUSAL_FACTOR = 0.7
TRIAL_FACTOR = 0.85
LATENCY_TOLERANCE = 1.5  # times the baseline
THROUGHPUT_TOLERANCE = 0.92  # share that a useful cut must keep
RECOVERY_STEP = 0.12  # of the slots, for each quiet window
COLD_START_SHARE = 0.3  # of the slots, for a cold instance
BASELINE_DRIFT = 0.1  # weight of a quiet window in the baseline


class _Phase(Enum):
    STEADY = auto()
    TRIAL = auto()


@dataclass(slots=True)
class _Window:
    started: float
    completed: int = 0
    own_time: float = 0.0
    refused: int = 0
    peak: int = 0


class Limiter:
    """The limit on requests in flight at one upstream instance."""

    def __init__(self, slots: int, clock: Clock, cold: bool = False) -> None:
        self._clock = clock
        self._slots = slots
        self._limit = max(1.0, slots * COLD_START_SHARE) if cold else float(slots)
        self._baseline: float | None = None
        self._phase = _Phase.STEADY
        self._before_trial = (0.0, 0.0)  # limit, throughput
        self._suspicious_since: float | None = None
        self._window = _Window(clock.monotonic())

    @property
    def limit(self) -> int:
        """Return how many requests may be in flight."""
        # Rounded up: of few slots, a cut that is rounded down takes twice its share.
        return max(1, math.ceil(self._limit))

    @property
    def baseline(self) -> float:
        """Return the usual own latency in seconds, 0 when unknown."""
        return self._baseline or 0.0

    def set_slots(self, slots: int) -> None:
        """Take the slots of new settings; a raised number is reached step by step."""
        self._slots = slots
        self._limit = min(self._limit, float(slots))

    def restart_cold(self) -> None:
        """Begin slow start for an instance that has just started."""
        self._limit = max(1.0, self._slots * COLD_START_SHARE)
        self._baseline = None
        self._phase = _Phase.STEADY
        self._window = _Window(self._clock.monotonic())

    def started(self, in_flight: int) -> None:
        """Note that a request was dispatched."""
        self._window.peak = max(self._window.peak, in_flight)

    def completed(self, own_time: float) -> None:
        """Note a completed request and its own latency in seconds."""
        if self._clock.monotonic() < self._window.started:
            return  # an effect of the time before the cut
        self._window.completed += 1
        self._window.own_time += own_time
        self._close_window()

    def refused(self) -> None:
        """Note that the instance refused a request or did not take a connection."""
        self._window.refused += 1
        self._close_window()

    def _close_window(self) -> None:
        window = self._window
        length = self._clock.monotonic() - window.started
        if length < WINDOW:
            return
        if window.refused:
            self._window = _Window(self._clock.monotonic())
            self._phase = _Phase.STEADY
            self._limit = max(1.0, self._limit * REFUSAL_FACTOR)
            return
        latency = window.own_time / window.completed if window.completed else 0.0
        if self._phase is _Phase.TRIAL or self._is_suspicious(window, latency):
            if window.completed < TRIAL_SAMPLES and length < MAX_TRIAL_WINDOW:
                return  # wait for enough samples
            self._window = _Window(self._clock.monotonic())
            self._judge(window, latency, window.completed / length)
            return
        self._window = _Window(self._clock.monotonic())
        if self._suspicious_since is not None:
            return  # neither learn a doubtful latency nor raise the limit
        if window.completed >= MIN_SAMPLES:
            self._drift(latency)
        self._raise()

    def _is_suspicious(self, window: _Window, latency: float) -> bool:
        """Return whether latency at full use has been high for long enough to try a cut.

        A cut costs goodput while it is tried, so a short surge must not cause one.
        """
        full = window.peak >= self.limit
        if self._baseline is None or not full or latency <= self._baseline * LATENCY_TOLERANCE:
            self._suspicious_since = None
            return False
        now = self._clock.monotonic()
        if self._suspicious_since is None:
            self._suspicious_since = now
        return now - self._suspicious_since >= SUSPICION_TIME

    def _judge(self, window: _Window, latency: float, throughput: float) -> None:
        if self._phase is _Phase.TRIAL:
            self._end_trial(latency, throughput)
        elif window.completed >= TRIAL_SAMPLES:
            self._before_trial = (self._limit, throughput)
            self._limit = max(1.0, self._limit * TRIAL_FACTOR)
            self._phase = _Phase.TRIAL
            self._window.started += SETTLE_LATENCIES * latency
        else:
            self._drift(latency)

    def _drift(self, latency: float) -> None:
        if self._baseline is None:
            self._baseline = latency
        self._baseline += BASELINE_DRIFT * (latency - self._baseline)

    def _end_trial(self, latency: float, throughput: float) -> None:
        self._phase = _Phase.STEADY
        limit_before, throughput_before = self._before_trial
        if throughput >= throughput_before * THROUGHPUT_TOLERANCE:
            return  # the cut cost nothing: keep it, and try the next one if latency stays high
        self._suspicious_since = None
        self._limit = limit_before
        self._baseline = latency

    def _raise(self) -> None:
        self._limit = min(float(self._slots), self._limit + self._slots * RECOVERY_STEP)
