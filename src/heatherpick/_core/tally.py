"""Who gets the vote of a ballot for a group."""

from heatherpick._core.rendezvous import score

__all__ = ["Tally"]

#: Key by which members are ranked to decide between two halves.
TIE_KEY = "tie"

#: Results that are kept before all are worked out anew.
N_CACHED = 20_000


class Tally:
    """Reads ballots; remembers what it has worked out."""

    def __init__(self):
        self._rankings = {}
        self._tops = {}

    def rank(self, membership, group):
        """Return pairs of bit mask and incarnation, in the order of rank."""
        key = (membership.epoch, group)
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = self._rank(membership, group)
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
        choice = self._tops.get(key)
        if choice is None:
            choice = self._choose(membership, ballot, group)
            self._store(self._tops, key, choice)
        return choice

    def find_first(self, membership, quorum):
        """Return the member of a quorum whose vote decides between two halves.

        It is the same for all groups: two nodes that know different groupings must
        not each take an upstream for theirs.
        """
        for _, incarnation in self.rank(membership, TIE_KEY):
            if incarnation in quorum:
                return incarnation
        return ""

    def _choose(self, membership, ballot, group):
        either = ballot.settled | ballot.unsettled
        for mask, incarnation in self.rank(membership, group):
            if either & mask:
                return incarnation if ballot.settled & mask else ""
        return ""

    def _rank(self, membership, group):
        ordered = sorted(
            membership.universe,
            key=lambda each: (-score(group, each.node), each.incarnation),
        )
        return tuple(
            (1 << membership.bit_by_incarnation[each.incarnation], each.incarnation)
            for each in ordered
        )

    @staticmethod
    def _store(cache, key, value):
        if len(cache) >= N_CACHED:
            cache.clear()
        cache[key] = value
