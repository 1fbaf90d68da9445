"""A settings file that changes while the node runs."""

import asyncio
import re
from random import Random

import pytest

from settings_file import read_settings
from standins.mesh_fleet import MeshFleet, NodeProcess
from tests.builders import ManualClock
from tests.mesh_builders import make_mesh_config
from thorntray.errors import Fault, InvalidSettings
from thorntray.internal.overload.retry_budget import RetryBudget, RetryBudgetSettings
from thorntray.internal.process.drain import CLOSE_TIME_RESERVE, Drain
from thorntray.internal.telemetry.events import Event
from thorntray_node import settings_reload
from thorntray_node.mesh_config import Endpoint
from thorntray_node.settings_reload import CHECK_PERIOD, SettingsReload


class SettingsFile:
    """A settings file, what it says when it is read, and what was applied of it."""

    def __init__(self, path):
        self.path = path
        self.cfg = make_mesh_config("n1", "tariff", 80, "a")
        self.fault = False
        self.applied = []
        self.save()
        self.reload = SettingsReload(self.path, self.read, self.cfg, self.applied.append)

    def save(self, **changes):
        self.cfg = self.cfg._replace(**changes)
        self.path.write_text(repr(self.cfg))

    def read(self):
        if self.fault:
            raise InvalidSettings(str(self.path), [Fault("-", "GraceS", "", "is missing")])
        return self.cfg


@pytest.fixture
def file(tmp_path):
    return SettingsFile(tmp_path / "boot.toml")


def run_for(file, seconds):
    async def main():
        task = asyncio.create_task(file.reload.run())
        await asyncio.sleep(seconds)
        task.cancel()

    asyncio.run(main())


def test_a_signal_applies_the_changed_fields_at_once(file):
    budget = file.cfg.budget._replace(slack=7.0)
    file.save(stop_limit=9.0, budget=budget)
    file.reload.request()
    run_for(file, 0.1)
    assert [(cfg.stop_limit, cfg.budget) for cfg in file.applied] == [(9.0, budget)]


def test_a_file_that_changes_without_a_signal_is_applied_too(file):
    file.save(stop_limit=9.25)
    run_for(file, CHECK_PERIOD + 0.2)
    assert [cfg.stop_limit for cfg in file.applied] == [9.25]


def test_a_file_with_a_fault_changes_nothing_until_it_is_mended(file):
    file.fault = True
    file.save(stop_limit=9.0)
    file.reload.reload()
    assert file.applied == []
    file.fault = False
    file.reload.reload()
    assert [cfg.stop_limit for cfg in file.applied] == [9.0]


def test_addresses_and_names_stay_until_a_restart(file):
    before = file.cfg
    file.save(stop_limit=9.0, instance=Endpoint("10.0.0.9", 99), name="other")
    file.reload.reload()
    assert file.applied == [before._replace(stop_limit=9.0)]


def test_an_unchanged_file_is_not_applied_again(file):
    file.reload.request()
    run_for(file, 0.1)
    assert file.applied == []


def test_a_stop_that_has_begun_keeps_its_limit():
    clock = ManualClock()
    drain = Drain(6.0, clock)
    drain.set_limit(4.0)
    drain.begin()
    drain.set_limit(60.0)
    assert drain.answers_due == clock.now + 4.0 - CLOSE_TIME_RESERVE


def test_a_lower_retry_bound_does_not_leave_saved_up_retries_beyond_it():
    budget = RetryBudget(RetryBudgetSettings(ratio=1.0, slack=100.0, window=10.0), 0.0)
    budget.refill(["tariff"], 10.0)
    budget.set_bound(RetryBudgetSettings(ratio=0.0, slack=0.0, window=10.0))
    assert budget.remaining()["tariff"] <= 1.0


@pytest.mark.parametrize("value", ["5", '"10.0.0.1"', "[]", "true"])
def test_an_address_that_is_none_is_a_fault_and_ends_no_task(tmp_path, value):
    # The task that reads the file again used to end with an AttributeError.
    fleet = MeshFleet([], {}, Random(1))
    text = fleet._settings(NodeProcess("n1", "tariff", "a", 1))
    path = tmp_path / "boot.toml"
    path.write_text(text)
    read_settings(path)
    path.write_text(re.sub("AppAddr = .*", f"AppAddr = {value}", text))
    with pytest.raises(InvalidSettings):
        read_settings(path)


@pytest.mark.parametrize("field", ["stop_limit", "max_policy_age"])
def test_a_time_that_is_no_number_is_a_fault(field):
    cfg = make_mesh_config("n1", "tariff", 80, "a")._replace(**{field: float("nan")})
    with pytest.raises(InvalidSettings, match=field):
        cfg.validated("boot.toml")


def test_a_change_between_the_start_and_the_first_check_is_applied(tmp_path):
    # Failure: a file that is completed after it was read looks as if it had not changed since.
    file = SettingsFile(tmp_path / "boot.toml")
    read_at_start = file.cfg
    file.save(stop_limit=9.0)
    file.reload = SettingsReload(file.path, file.read, read_at_start, file.applied.append)
    run_for(file, CHECK_PERIOD + 0.2)
    assert [cfg.stop_limit for cfg in file.applied] == [9.0]


def test_the_first_check_of_an_unchanged_file_is_not_logged(file, monkeypatch):
    lines = []
    monkeypatch.setattr(settings_reload, "log_event", lambda event, **_: lines.append(event))
    run_for(file, CHECK_PERIOD + 0.2)
    assert lines == [] and file.applied == []
    file.reload.request()
    run_for(file, 0.1)
    assert lines == [Event.SETTINGS_CHANGED]
