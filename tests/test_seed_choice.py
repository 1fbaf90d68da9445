"""Which seeds of the store's entries a node joins through, however many entries there are."""

from random import Random

import pytest

from thorntray.internal.membership.gossip import Address
from thorntray.internal.store import seeds as seeds_module
from thorntray.internal.store.seeds import (
    MAX_EXAMINED_ENTRIES,
    MAX_JOIN_SEEDS,
    PlatformState,
    Seeds,
    SeedTiming,
)
from thorntray.internal.store.store_calls import StoreEntry


def choose(values):
    entries = [StoreEntry(f"seeds/{i}", value, 1) for i, value in enumerate(values)]
    seeds = Seeds(None, None, PlatformState(), "seeds/", [], SeedTiming(), Random(59))
    return seeds._choose_seeds(entries)


def address_values(count):
    return [f"10.1.{i // 250}.{i % 250 + 1}:7620".encode() for i in range(count)]


# Issue 59: all addresses of 38,000 entries were parsed, in 0.2 to 0.6 s without a turn of the loop.
@pytest.mark.parametrize("values", [address_values(38_000), [b"no address"] * 38_000])
def test_addresses_are_parsed_for_a_bounded_number_of_entries(values, monkeypatch):
    parsed = []
    parse = seeds_module._parse_address
    monkeypatch.setattr(
        seeds_module, "_parse_address", lambda value: parsed.append(value) or parse(value)
    )
    choose(values)
    assert len(parsed) <= MAX_EXAMINED_ENTRIES


def test_valid_seeds_are_found_among_malformed_ones_up_to_those_of_one_join():
    malformed = [b"no address"] * (MAX_EXAMINED_ENTRIES - 20)
    assert choose([*malformed, b"10.1.0.1:7620"]) == [Address("10.1.0.1", 7620)]
    chosen = choose(malformed + address_values(20))
    assert len(set(chosen)) == MAX_JOIN_SEEDS


def test_seeds_are_drawn_from_all_entries_of_a_large_fleet():
    chosen = choose(address_values(5_000))
    assert len(set(chosen)) == MAX_JOIN_SEEDS
    assert not {address.host for address in chosen} <= {
        value.decode().split(":")[0] for value in address_values(MAX_EXAMINED_ENTRIES)
    }
    assert choose([]) == []
