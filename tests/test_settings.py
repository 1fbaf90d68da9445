"""Settings: schema, signed documents, the document holder, and writes with lost replies."""

import asyncio
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nacl.signing import SigningKey

from tests.builders import LoopClock, make_settings, run_virtual
from tests.fleet_builders import KEY, KEYS, TEAM, MemoryPlatform, make_document, make_paths
from thorntray.errors import InvalidSettings, PlatformUnavailable, WriteConflict, WriteUndetermined
from thorntray.internal.connection.message import DocumentReply, FetchDocument
from thorntray.internal.version.document import (
    apply_delta,
    check_document,
    compute_delta,
    decode_document,
    encode_document,
)
from thorntray.internal.version.holder import SettingsHolder
from thorntray.internal.version.ini import read_settings, write_settings
from thorntray.internal.version.schema import check_paths
from thorntray.internal.version.writer import SettingsWriter

ROOT = Path(__file__).resolve().parent.parent
paths = st.dictionaries(st.sampled_from("abcdef"), st.sampled_from("123"), max_size=6)


@given(paths, paths)
def test_applying_a_difference_to_the_old_paths_gives_the_new_ones(old, new):
    assert apply_delta(old, compute_delta(old, new)) == new


def test_the_demo_settings_are_valid_and_survive_an_ini_round_trip(tmp_path):
    for team in ("himal", "riyah"):
        found = read_settings(sorted((ROOT / "demo/settings" / team).glob("*.ini")))
        file = tmp_path / f"{team}.ini"
        file.write_text(write_settings(found), "utf-8")
        assert read_settings([file]) == found


@pytest.mark.parametrize(
    ("path", "value", "expected_text"),
    [
        ("services/tariff/slots", "many", "write a number from 1 to 2000 requests"),
        ("services/tariff/slots", "0", "write a number from 1"),
        ("services/tariff/sluts", "5", "unknown key; known are slots"),
        ("shelves/tariff/slots", "5", "unknown section"),
        ("routes/tariff/look/class", "gold", "add a section [classes/gold]"),
        ("routes/tariff/look/idempotent", "maybe", "write yes or no"),
        ("services/tariff/retry_ratio", "2", "from 0 to 0.5"),
        ("services/tariff/connections", "3", "write at least the slots"),
    ],
)
def test_each_fault_names_section_key_value_and_remedy(path, value, expected_text):
    faults = check_paths({**make_paths(50), path: value})
    text = "\n".join(str(fault) for fault in faults)
    assert expected_text in text and repr(value) in text


def test_all_faults_of_a_file_are_reported_together(tmp_path):
    file = tmp_path / "bad.ini"
    file.write_text("[services/x]\nslots = no\nqueue = -1\n[what]\na = b\n", "utf-8")
    with pytest.raises(InvalidSettings) as caught:
        read_settings([file])
    assert len(caught.value.faults) == 3


def test_settings_return_the_longest_matching_route():
    found = make_settings({"tariff": {}}).services["tariff"]
    assert found.match_route("GET", "/x").name == "look"
    assert found.match_route("PUT", "/x") is None


def test_a_document_is_accepted_only_with_a_known_key_and_for_its_own_team():
    data = encode_document(make_document(1))
    assert decode_document(data, TEAM, KEYS[TEAM]).is_ok()
    assert decode_document(data, "riyah", KEYS[TEAM]).is_error()
    other = SigningKey(b"1" * 32)
    assert decode_document(data, TEAM, (other.verify_key,)).is_error()
    both = (other.verify_key, KEY.verify_key)
    assert decode_document(data, TEAM, both).is_ok(), "two keys are valid during a key rotation"


@given(st.binary(max_size=200))
def test_a_malformed_document_in_the_store_is_refused(data):
    holder = SettingsHolder(KEYS, lambda: None)
    holder.apply_stored(TEAM, encode_document(make_document(1)))
    assert not holder.apply_stored(TEAM, data)
    assert holder.revision(TEAM) == 1 and TEAM in holder.refused_documents


def test_a_signed_but_invalid_document_is_refused_and_the_last_valid_one_stays_in_force():
    holder = SettingsHolder(KEYS, lambda: None)
    holder.apply_stored(TEAM, encode_document(make_document(1)))
    bad = make_document(2, slots=0)
    assert check_document(bad, TEAM, KEYS[TEAM]).is_error()
    assert not holder.apply_stored(TEAM, encode_document(bad))
    assert holder.settings.services["tariff"].slots == 1
    assert "slots" in holder.refused_documents[TEAM]


class HolderConvergence(RuleBasedStateMachine):
    """Two holders that receive documents in any order, from the store and from each other."""

    def __init__(self):
        super().__init__()
        self.holders = [SettingsHolder(KEYS, lambda: None) for _ in range(2)]
        self.last_revisions = [0, 0]

    @rule(which=st.integers(0, 1), revision=st.integers(1, 40))
    def read_from_store(self, which, revision):
        self.holders[which].apply_stored(TEAM, encode_document(make_document(revision)))

    @rule(which=st.integers(0, 1), known_revision=st.integers(0, 40))
    def fetch_from_other_holder(self, which, known_revision):
        request = FetchDocument(TEAM, min(known_revision, self.holders[which].revision(TEAM)))
        self.holders[which].apply_reply(self.holders[1 - which].create_reply(request))

    @rule(which=st.integers(0, 1), payload=st.binary(max_size=50), base=st.integers(0, 3))
    def receive_garbled_reply(self, which, payload, base):
        reply = DocumentReply(TEAM, 99, base, payload)
        assert not self.holders[which].apply_reply(reply)

    @invariant()
    def revisions_never_decrease_and_settings_match(self):
        for i, holder in enumerate(self.holders):
            revision = holder.revision(TEAM)
            assert revision >= self.last_revisions[i]
            self.last_revisions[i] = revision
            if revision:
                assert holder.settings.services["tariff"].slots == revision


TestHolderConvergence = HolderConvergence.TestCase


async def _write_settings(platform, seed, author, slots, base=None):
    writer = SettingsWriter(platform, TEAM, KEY, LoopClock(), Random(seed))
    base = base or await writer.read()
    return await writer.write(make_paths(slots), author, "test", base)


async def _write_result(write):
    try:
        return "accepted", (await write).change.write_id
    except WriteConflict as exc:
        return "conflict", str(exc)
    except PlatformUnavailable:
        return "not written", ""
    except WriteUndetermined as exc:
        return "unknown", str(exc)


@settings(max_examples=200)
@given(
    st.integers(0, 2**32),
    st.integers(1, 4),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from([None, (0.0, 5.0), (0.003, 60.0)]),
)
def test_a_writer_never_reports_an_outcome_that_it_does_not_know(
    seed, writers, replies_to_lose, requests_to_lose, outage
):
    async def scenario():
        platform = MemoryPlatform()
        platform.replies_to_lose, platform.requests_to_lose = replies_to_lose, requests_to_lose

        async def cause_outage():
            if outage:
                await asyncio.sleep(outage[0])
                platform.down = True
                await asyncio.sleep(outage[1])
                platform.down = False

        outage_task = asyncio.ensure_future(cause_outage())
        writes = [_write_settings(platform, seed + i, f"op{i}", 10 + i) for i in range(writers)]
        results = await asyncio.gather(*(_write_result(write) for write in writes))
        await outage_task
        platform.down = False
        platform.replies_to_lose = platform.requests_to_lose = 0
        writer = SettingsWriter(platform, TEAM, KEY, LoopClock(), Random(1))
        return results, (await writer.read()).document

    results, document = run_virtual(scenario())
    accepted = [text for status, text in results if status == "accepted"]
    stored = [change.write_id for change in document.recent]
    undetermined = [text for status, text in results if status == "unknown"]
    assert set(accepted) <= set(stored)
    for write_id in stored:
        reported = write_id in accepted or any(write_id in text for text in undetermined)
        assert reported, "a write took effect although it was reported as not written"


def test_a_write_conflict_reports_what_changed_and_by_whom():
    async def scenario():
        platform = MemoryPlatform()
        writer = SettingsWriter(platform, TEAM, KEY, LoopClock(), Random(1))
        await _write_settings(platform, 1, "asha", 10)
        base = await writer.read()
        await _write_settings(platform, 2, "asha", 20, base)
        return await _write_result(_write_settings(platform, 3, "omar", 30, base))

    status, text = run_virtual(scenario())
    assert status == "conflict" and "by asha" in text and "services/tariff/slots" in text


def test_a_write_that_took_effect_before_its_reply_was_lost_is_reported_as_accepted():
    async def scenario():
        platform = MemoryPlatform()
        platform.replies_to_lose = 1
        status, write_id = await _write_result(_write_settings(platform, 1, "asha", 20))
        writer = SettingsWriter(platform, TEAM, KEY, LoopClock(), Random(1))
        return status, write_id, (await writer.read()).document

    status, write_id, document = run_virtual(scenario())
    assert status == "accepted" and document.revision == 1
    assert [change.write_id for change in document.recent] == [write_id]
