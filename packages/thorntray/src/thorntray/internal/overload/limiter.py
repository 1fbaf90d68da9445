"""Adaptive concurrency limit of one upstream instance.

The limit starts at the configured number of slots and never exceeds it. Two signals lower it:

* refusals and connection failures of the instance: multiplicative decrease, at most once per
  window;
* own latency (excluding time in nested calls) well above its baseline: a trial cut.

The trial is needed because latency alone cannot distinguish an instance overloaded by its own
concurrency from one whose work has become slower. In the second case a gradient or Vegas-like
limit shrinks to a fraction although all slots are useful, and goodput falls with it. A cut made
for latency is therefore kept only if throughput did not fall with it; otherwise the previous
limit is restored and the higher latency becomes the new baseline. Each window without either
signal raises the limit again.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto

from thorntray.internal.process.clock import Clock

WINDOW = 0.5  # seconds between decisions
MIN_SAMPLES = 8  # completed requests that a window needs to update the baseline
# Completed requests that a window needs to decide on a cut; fewer would compare noise with noise.
TRIAL_SAMPLES = 40
HIGH_LATENCY_TIME = 5.0  # seconds of high latency at the full limit before a cut is tried
MAX_TRIAL_WINDOW = 4.0  # seconds after which a window is evaluated even with too few samples
SETTLE_TIME_FACTOR = 1.5  # multiple of the latency to wait after a cut before measuring its effect
REFUSAL_FACTOR = 0.7  # applied to the limit after a window with refusals
TRIAL_CUT_FACTOR = 0.85  # applied to the limit for a trial
LATENCY_TOLERANCE = 1.5  # multiple of the baseline above which latency counts as high
THROUGHPUT_TOLERANCE = 0.92  # share of the throughput that must remain for a cut to be kept
RECOVERY_SHARE = 0.12  # share of the slots by which a window without signals raises the limit
COLD_START_SHARE = 0.3  # initial limit of a cold instance, as a share of the slots
BASELINE_WEIGHT = 0.1  # weight of the newest window in the baseline


class _Phase(Enum):
    STEADY = auto()
    TRIAL = auto()


@dataclass(slots=True)
class _Window:
    started_at: float
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
        self._high_latency_since: float | None = None
        self._window = _Window(clock.monotonic())

    @property
    def limit(self) -> int:
        """Return the number of requests that may be in flight."""
        # Rounded up: with few slots, rounding down would double the effect of a cut.
        return max(1, math.ceil(self._limit))

    @property
    def baseline(self) -> float:
        """Return the usual own latency in seconds, 0 if unknown."""
        return self._baseline or 0.0

    def set_slots(self, slots: int) -> None:
        """Apply a new number of slots; the limit rises to a higher number gradually."""
        self._slots = slots
        self._limit = min(self._limit, float(slots))

    def restart_cold(self) -> None:
        """Restart from a low limit, for an instance that has just started."""
        self._limit = max(1.0, self._slots * COLD_START_SHARE)
        self._baseline = None
        self._phase = _Phase.STEADY
        self._window = _Window(self._clock.monotonic())

    def record_start(self, in_flight: int) -> None:
        """Record that a request was dispatched; `in_flight` includes it."""
        self._window.peak = max(self._window.peak, in_flight)

    def record_completion(self, own_time: float) -> None:
        """Record a completed request and its own latency in seconds."""
        if self._clock.monotonic() < self._window.started_at:
            return  # still affected by the limit before the cut
        self._window.completed += 1
        self._window.own_time += own_time
        self._close_window()

    def record_refusal(self) -> None:
        """Record that the instance refused a request or a connection."""
        self._window.refused += 1
        self._close_window()

    def _close_window(self) -> None:
        window = self._window
        length = self._clock.monotonic() - window.started_at
        if length < WINDOW:
            return
        if window.refused:
            self._window = _Window(self._clock.monotonic())
            self._phase = _Phase.STEADY
            self._limit = max(1.0, self._limit * REFUSAL_FACTOR)
            return
        latency = window.own_time / window.completed if window.completed else 0.0
        if self._phase is _Phase.TRIAL or self._should_try_cut(window, latency):
            if window.completed < TRIAL_SAMPLES and length < MAX_TRIAL_WINDOW:
                return  # wait for enough samples
            self._window = _Window(self._clock.monotonic())
            self._evaluate_cut(window, latency, window.completed / length)
            return
        self._window = _Window(self._clock.monotonic())
        if self._high_latency_since is not None:
            return  # high latency may be overload: keep baseline and limit as they are
        if window.completed >= MIN_SAMPLES:
            self._update_baseline(latency)
        self._raise_limit()

    def _should_try_cut(self, window: _Window, latency: float) -> bool:
        """Return whether latency at the full limit has been high for long enough to try a cut.

        A trial cut costs goodput, so a short surge must not cause one.
        """
        full = window.peak >= self.limit
        if self._baseline is None or not full or latency <= self._baseline * LATENCY_TOLERANCE:
            self._high_latency_since = None
            return False
        now = self._clock.monotonic()
        if self._high_latency_since is None:
            self._high_latency_since = now
        return now - self._high_latency_since >= HIGH_LATENCY_TIME

    def _evaluate_cut(self, window: _Window, latency: float, throughput: float) -> None:
        if self._phase is _Phase.TRIAL:
            self._end_trial(latency, throughput)
        elif window.completed >= TRIAL_SAMPLES:
            self._before_trial = (self._limit, throughput)
            self._limit = max(1.0, self._limit * TRIAL_CUT_FACTOR)
            self._phase = _Phase.TRIAL
            self._window.started_at += SETTLE_TIME_FACTOR * latency
        else:
            self._update_baseline(latency)

    def _update_baseline(self, latency: float) -> None:
        if self._baseline is None:
            self._baseline = latency
        self._baseline += BASELINE_WEIGHT * (latency - self._baseline)

    def _end_trial(self, latency: float, throughput: float) -> None:
        self._phase = _Phase.STEADY
        limit_before, throughput_before = self._before_trial
        if throughput >= throughput_before * THROUGHPUT_TOLERANCE:
            return  # no throughput lost: keep the cut; if latency stays high, another is tried
        self._high_latency_since = None
        self._limit = limit_before
        self._baseline = latency

    def _raise_limit(self) -> None:
        self._limit = min(float(self._slots), self._limit + self._slots * RECOVERY_SHARE)
