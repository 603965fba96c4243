"""The rule that bounds the calls of all nodes together to one upstream."""

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Level", "Share", "compute_level"]


class Level(IntEnum):
    """Part of an upstream's limit that a node may use."""

    NONE = 0
    LOWER_HALF = 1
    UPPER_HALF = 2
    FULL = 3


@dataclass(frozen=True, slots=True)
class Share:
    """A node's share of the limit of each upstream of a group."""

    level: Level = Level.NONE

    def limit(self, n_slots):
        """Return how many of ``n_slots`` this node may use.

        >>> [Share(level).limit(3) for level in Level]
        [0, 1, 2, 3]
        """
        if self.level is Level.FULL:
            return n_slots
        if self.level is Level.UPPER_HALF:
            return (n_slots + 1) // 2
        if self.level is Level.LOWER_HALF:
            return n_slots // 2
        return 0


def compute_level(n_votes, n_voters, has_tie_breaker):
    """Return the `Level` that a number of votes for one group permits.

    However the votes are distributed among nodes, their shares add up to at most the
    limit: if one node has two thirds of the votes, no other has more than a third; at
    most two nodes have more than a third each; and at most one of those two has more
    than half, or half and the tie breaker.

    Parameters
    ----------
    n_votes : int
        Votes that the node holds.
    n_voters : int
        Voters, including those that are suspected.
    has_first : bool
        Whether the vote of the quorum's first voter is among them; it decides when
        two nodes hold half of the votes each.
    """
    if n_votes == 0:
        return Level.NONE
    if 3 * n_votes >= 2 * n_voters:
        return Level.FULL
    if 2 * n_votes > n_voters or (2 * n_votes == n_voters and has_tie_breaker):
        return Level.UPPER_HALF
    if 3 * n_votes > n_voters:
        return Level.LOWER_HALF
    return Level.NONE
