import itertools

import pytest

from heatherpick._core.shares import Level, Share, compute_level

N_VOTERS = range(1, 10)


def list_distributions(n_votes, max_held):
    """Return every distribution of votes to nodes, as counts in descending order."""
    if n_votes == 0:
        return [()]
    return [
        (n_held, *rest)
        for n_held in range(min(n_votes, max_held), 0, -1)
        for rest in list_distributions(n_votes - n_held, n_held)
    ]


@pytest.mark.parametrize("n_voters", N_VOTERS)
def test_shares_of_any_vote_distribution_do_not_exceed_the_limit(n_voters):
    for n_cast in range(n_voters + 1):
        for n_held_by_node in list_distributions(n_cast, n_cast):
            for first in range(-1, len(n_held_by_node)):
                shares = [
                    Share(compute_level(n_held, n_voters, index == first))
                    for index, n_held in enumerate(n_held_by_node)
                ]
                for limit in range(1, 6):
                    assert sum(each.limit(limit) for each in shares) <= limit


@pytest.mark.parametrize("n_voters", range(3, 10))
def test_all_but_one_of_three_or_more_votes_permit_the_full_limit(n_voters):
    assert compute_level(n_voters - 1, n_voters, False) is Level.FULL


@pytest.mark.parametrize("n_voters", range(3, 10))
def test_single_vote_of_three_or_more_permits_nothing(n_voters):
    assert compute_level(1, n_voters, True) is Level.NONE


def test_equal_halves_share_the_limit_and_one_has_the_odd_slot():
    levels = {compute_level(2, 4, True), compute_level(2, 4, False)}
    assert levels == {Level.UPPER_HALF, Level.LOWER_HALF}


@pytest.mark.parametrize("n_voters", N_VOTERS)
def test_more_votes_never_permit_less(n_voters):
    levels = [
        compute_level(n_votes, n_voters, False) for n_votes in range(n_voters + 1)
    ]
    assert all(a <= b for a, b in itertools.pairwise(levels))
