"""Who gets the vote of a ballot for a group."""

from heatherpick._core.rendezvous import score

__all__ = ["Tally"]

#: Key by which members are ranked to decide between two halves.
TIE_BREAK_KEY = "tie"

#: Results that are kept before all are worked out anew.
MAX_CACHE_ENTRIES = 20_000


class Tally:
    """Reads ballots; remembers what it has worked out."""

    def __init__(self):
        self._rankings = {}
        self._choices = {}

    def rank(self, membership, group):
        """Return pairs of bit mask and incarnation, in the order of rank."""
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
            Empty when the vote counts for nobody.
        """
        key = (ballot, group)
        choice = self._choices.get(key)
        if choice is None:
            choice = self._compute_choice(membership, ballot, group)
            self._store(self._choices, key, choice)
        return choice

    def find_tie_breaker(self, membership, quorum):
        """Return the member of a quorum whose vote decides between two halves.

        It is the same for all groups: two nodes that know different groupings must
        not each take an upstream for theirs.
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
            key=lambda each: (-score(group, each.node), each.incarnation),
        )
        return tuple(
            (1 << membership.bits[each.incarnation], each.incarnation)
            for each in ordered
        )

    @staticmethod
    def _store(cache, key, value):
        if len(cache) >= MAX_CACHE_ENTRIES:
            cache.clear()
        cache[key] = value
