"""Settings files that are empty, half written or gone for a moment when a process starts."""

import signal
import time

import pytest

from tests.builders import ManualClock
from tests.ini_process_builders import IniProcess
from tests.process_builders import PlatformProcess
from thorntray.errors import Fault, InvalidSettings
from thorntray_node.settings_wait import SETTINGS_WAIT, wait_for_settings

WAIT_LINE = "SETTINGS_AWAITED"


def empty(text):
    return ""


def cut_within_a_value(text):
    return text[: text.index("Ip =") + 6]


def cut_between_two_tables(text):
    return text[: text.index("[Terms")]


def gone(text):
    return None


def damage(node, kind):
    text = kind(node.text)
    node.settings.unlink()
    if text is not None:
        node.settings.write_text(text, "utf-8")


@pytest.mark.process
@pytest.mark.parametrize("kind", [empty, cut_within_a_value, cut_between_two_tables, gone])
def test_a_node_waits_for_settings_that_are_being_written(tmp_path, kind):
    # Failure: the process ends with 2 at once; three of these are a fault of the whole system.
    node = PlatformProcess(tmp_path)
    damage(node, kind)
    with node:
        node.wait_for_log(WAIT_LINE)
        node.settings.write_text(node.text, "utf-8")
        node.wait_for_log("STARTED")
        node.process.terminate()
        assert node.wait_ended() == 0


@pytest.mark.process
@pytest.mark.parametrize("cut", [0, 40, 200])
def test_a_node_with_an_ini_file_waits_for_settings_that_are_being_written(tmp_path, cut):
    # Failure: as above.
    node = IniProcess(tmp_path)
    node.settings.write_text(node.text[:cut], "utf-8")
    with node:
        node.wait_for_log("E129")
        node.settings.write_text(node.text, "utf-8")
        node.wait_listening()
        node.process.terminate()
        assert node.wait_ended() == 0


@pytest.mark.process
def test_settings_that_stay_gone_end_the_process_with_a_remedy(tmp_path):
    node = PlatformProcess(tmp_path)
    node.settings.unlink()
    with node:
        assert node.wait_ended() == 2
        assert node.log.count(WAIT_LINE) == 1
        assert "cannot be read" in node.log.splitlines()[-1]


@pytest.mark.process
def test_a_stop_ends_the_wait_for_settings_promptly(tmp_path):
    node = PlatformProcess(tmp_path)
    node.settings.unlink()
    with node:
        node.wait_for_log(WAIT_LINE)
        began = time.monotonic()
        node.process.terminate()
        assert node.wait_ended() in (0, -signal.SIGTERM)
        assert time.monotonic() - began < SETTINGS_WAIT / 2


class SettingsWrittenLate:
    """Settings that are valid from a time on, and a clock that sleeping advances."""

    def __init__(self, valid_at):
        self.clock = ManualClock()
        self._valid_at = self.clock.now + valid_at
        self.waits = []

    def read(self):
        if self.clock.now < self._valid_at:
            raise InvalidSettings("boot.toml", [Fault("-", "-", "", "cannot be read")])
        return "valid"

    def sleep(self, seconds):
        self.clock.now += seconds

    def wait(self):
        return wait_for_settings(self.read, self.clock, self.waits.append, self.sleep)


def test_valid_settings_are_read_without_a_wait():
    settings = SettingsWrittenLate(0.0)
    began = settings.clock.now
    assert settings.wait() == "valid"
    assert settings.clock.now == began and settings.waits == []


def test_a_wait_is_reported_once():
    settings = SettingsWrittenLate(SETTINGS_WAIT / 2)
    assert settings.wait() == "valid"
    assert len(settings.waits) == 1


def test_settings_that_stay_invalid_are_a_fault_after_the_wait():
    settings = SettingsWrittenLate(10 * SETTINGS_WAIT)
    began = settings.clock.now
    with pytest.raises(InvalidSettings):
        settings.wait()
    assert SETTINGS_WAIT <= settings.clock.now - began < 1.2 * SETTINGS_WAIT
