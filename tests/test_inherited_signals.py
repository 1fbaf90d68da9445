"""Signals that the parent of a node process has blocked or ignored.

Guards against a stop that never arrives: the platform then kills the process with what it owes.
"""

import signal

import pytest

from tests.process_builders import PlatformProcess, blocked_signal, ignored_signal

pytestmark = pytest.mark.process

STOP_SIGNALS = [signal.SIGTERM, signal.SIGINT]
EARLY_EXIT_CODES = {signal.SIGTERM: -signal.SIGTERM, signal.SIGINT: 130}  # before the start
INHERITED = {"blocked": blocked_signal, "ignored": ignored_signal}


@pytest.mark.parametrize("signum", STOP_SIGNALS)
@pytest.mark.parametrize("state", INHERITED)
def test_a_stop_drains_whatever_the_parent_has_set(tmp_path, signum, state):
    node = PlatformProcess(tmp_path)
    with INHERITED[state](signum):
        node.start()
    with node.running():
        node.wait_for_log("STARTED")
        node.process.send_signal(signum)
        assert node.wait_ended() == 0
        assert "DRAIN_ENDED" in node.log


@pytest.mark.parametrize("signum", STOP_SIGNALS)
@pytest.mark.parametrize("state", INHERITED)
def test_a_stop_during_the_imports_is_not_lost(tmp_path, signum, state):
    node = PlatformProcess(tmp_path, gated=True)
    with INHERITED[state](signum):
        node.start()
    with node.running():
        node.send_while_importing(signum)
        assert node.wait_ended() == EARLY_EXIT_CODES[signum]
        assert ("INTERRUPTED" in node.log) == (signum == signal.SIGINT)


@pytest.mark.parametrize("state", INHERITED)
def test_a_change_of_settings_is_applied_whatever_the_parent_has_set(tmp_path, state):
    node = PlatformProcess(tmp_path, gated=True)
    with INHERITED[state](signal.SIGHUP):
        node.start()
    with node.running():
        node.send_while_importing(signal.SIGHUP)
        node.wait_for_log("STARTED")
        node.process.send_signal(signal.SIGHUP)
        node.wait_for_log("SETTINGS_CHANGED")
