"""Counting of ballots: which member a ballot's vote for a group counts for."""

from heatherpick._core.rendezvous import score

__all__ = ["Tally"]

#: Key of the ranking that finds the tie breaker between two halves of the votes.
TIE_BREAK_KEY = "tie"

#: Entries after which a cache is cleared.
MAX_CACHE_ENTRIES = 20_000


class Tally:
    """Evaluates ballots and caches the results."""

    def __init__(self):
        self._rankings = {}
        self._choices = {}

    def rank(self, membership, group):
        """Return the members' bit masks and incarnations, best rank first.

        Parameters
        ----------
        membership : Membership
            The members, with the position of each one's bit in a ballot.
        group : str
            Name of a group of upstreams, or another key to rank by.

        Returns
        -------
        tuple of (int, str)
            Bit mask and incarnation of each member.
        """
        key = (membership.epoch, group)
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = self._compute_ranking(membership, group)
            self._store(self._rankings, key, ranking)
        return ranking

    def find_choice(self, membership, ballot, group):
        """Return the incarnation that a ballot's vote for a group counts for.

        Returns
        -------
        str
            Empty if the vote counts for no member.
        """
        key = (ballot, group)
        choice = self._choices.get(key)
        if choice is None:
            choice = self._compute_choice(membership, ballot, group)
            self._store(self._choices, key, choice)
        return choice

    def find_tie_breaker(self, membership, quorum):
        """Return the incarnation in a quorum whose vote breaks a tie of two halves.

        It is the same for all groups. Otherwise two nodes that know different
        groupings could both consider an upstream their own. It is empty if the quorum
        has no member.
        """
        for _, incarnation in self.rank(membership, TIE_BREAK_KEY):
            if incarnation in quorum:
                return incarnation
        return ""

    def _compute_choice(self, membership, ballot, group):
        marked = ballot.settled | ballot.unsettled
        for mask, incarnation in self.rank(membership, group):
            if marked & mask:
                return incarnation if ballot.settled & mask else ""
        return ""

    def _compute_ranking(self, membership, group):
        ordered = sorted(
            membership.universe,
            key=lambda member: (-score(group, member.node), member.incarnation),
        )
        return tuple(
            (1 << membership.bit_by_incarnation[member.incarnation], member.incarnation)
            for member in ordered
        )

    @staticmethod
    def _store(cache, key, value):
        if len(cache) >= MAX_CACHE_ENTRIES:
            cache.clear()
        cache[key] = value
