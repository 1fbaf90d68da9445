"""Tests of the decision how many connections callers may hold."""

from thorntray.internal.process.descriptor_budget import (
    CONNECTIONS_PER_SLOT,
    FILE_DESCRIPTORS,
    LEAST_SERVING_LIMIT,
    LINKS_PER_MEMBER,
    MIN_SURPLUS,
    DescriptorBudget,
)


def test_without_a_known_limit_nothing_is_bounded():
    assert DescriptorBudget(None, None).caller_bound(members=300, slots=100) is None


def test_the_lower_limit_counts_if_the_settings_allow_more_than_the_operating_system():
    assert DescriptorBudget(3900, 1024).limit == 1024 - FILE_DESCRIPTORS
    assert DescriptorBudget(900, 1024).limit == 900


def test_every_member_and_slot_that_is_added_is_kept_back_from_callers():
    budget = DescriptorBudget(3900, None)
    small = budget.caller_bound(members=12, slots=100)
    assert budget.caller_bound(13, 100).connections == small.connections - LINKS_PER_MEMBER
    assert budget.caller_bound(12, 101).connections == small.connections - CONNECTIONS_PER_SLOT
    assert budget.caller_bound(12, 500).surplus == 500


def test_callers_keep_a_share_in_a_fleet_too_large_for_the_limit():
    bound = DescriptorBudget(400, None).caller_bound(members=1000, slots=500)
    assert bound.connections == 100 and bound.surplus == 100


def test_the_least_limit_for_serving_leaves_callers_connections_and_refusals():
    bound = DescriptorBudget(LEAST_SERVING_LIMIT, None).caller_bound(members=0, slots=0)
    assert bound.connections >= MIN_SURPLUS and bound.surplus == MIN_SURPLUS


def test_a_limit_that_proves_too_high_is_lowered_and_never_raised():
    budget = DescriptorBudget(None, None)
    budget.record_exhausted(in_use=500, now=0.0)
    assert budget.limit == 500
    budget.record_exhausted(in_use=600, now=10.0)
    assert budget.limit == 500


def test_sockets_that_fail_together_do_not_lower_the_limit_step_by_step():
    budget = DescriptorBudget(None, None)
    for number in range(12):  # each failure closes idle connections, which are no longer counted
        budget.record_exhausted(in_use=300 - 16 * number, now=0.001 * number)
    assert budget.limit == 300
