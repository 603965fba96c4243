"""The members that a node votes for, and how votes move without counting twice.

A node has one vote for each group. It goes to the first by rank among the members
in the node's view. The holder of a vote counts it until it is told of a change or
its lease expires, so a vote that moves between two live members must not count for
the new holder before the old one knows. Until then the member that enters or leaves
the view is *unsettled* in every heartbeat, and a vote that would go to an unsettled
member counts for none.
"""

from dataclasses import dataclass, field

__all__ = ["View"]


@dataclass(slots=True)
class _Change:
    started_at: float
    is_entering: bool
    #: First heartbeat sequence that informs each member whose acknowledgement is due.
    pending_acks: dict[str, int] = field(default_factory=dict)


class View:
    """Incarnations of the members that this node votes for.

    Attributes
    ----------
    settled : set of str
        Members for which this node's votes count.
    """

    def __init__(self, suspect_s):
        self.settled = set()
        self._suspect_s = suspect_s
        self._changes = {}

    @property
    def unsettled(self):
        """Members that enter or leave the view."""
        return self._changes.keys()

    def update(self, eligible, expired, next_sequence, now):
        """Update the view and return whether it changed.

        Parameters
        ----------
        eligible : set of str
            Members that votes should go to.
        lapsed : set of str
            Members of the view that can hold no vote any more, because their leases
            have expired or because they announced it.
        sequences : callable
            Returns the sequence of the next heartbeat to an incarnation.
        now : float
            Time in seconds.
        """
        before = self._state()
        for each in expired:
            self._drop(each)
        for each in sorted(self._list_tracked() - eligible):
            self._begin_leaving(each, next_sequence, now)
        for each in sorted(eligible - self.settled):
            self._begin_entering(each, next_sequence, now)
        self._finish_changes(now)
        return before != self._state()

    def suspend_votes(self, next_sequence, now):
        """Withhold all votes until every member knows that the groups changed."""
        pending_acks = {each: next_sequence(each) for each in self._list_tracked()}
        for each in self._list_tracked():
            change = self._changes.get(each)
            if change is None or change.is_entering:
                self._changes[each] = _Change(now, True, dict(pending_acks))
        self.settled.clear()

    def acknowledge(self, incarnation, sequence):
        """Record that a member acts on the heartbeat with ``sequence``.

        Returns
        -------
        bool
            Whether a change now waits for no acknowledgement any more.
        """
        is_change_complete = False
        for change in self._changes.values():
            if change.pending_acks.get(incarnation, sequence + 1) <= sequence:
                del change.pending_acks[incarnation]
                is_change_complete = is_change_complete or not change.pending_acks
        return is_change_complete

    def next_timeout(self):
        """Return when the oldest change times out, None when there is none."""
        start_times = [change.started_at for change in self._changes.values()]
        return min(start_times) + self._suspect_s if start_times else None

    def _state(self):
        return frozenset(self.settled), frozenset(self._changes)

    def _drop(self, incarnation):
        self.settled.discard(incarnation)
        self._changes.pop(incarnation, None)
        for change in self._changes.values():
            change.pending_acks.pop(incarnation, None)

    def _list_tracked(self):
        return self.settled | self._changes.keys()

    def _begin_leaving(self, incarnation, next_sequence, now):
        change = self._changes.get(incarnation)
        if change is not None and not change.is_entering:
            return
        self.settled.discard(incarnation)
        pending_acks = {incarnation: next_sequence(incarnation)}
        self._changes[incarnation] = _Change(now, False, pending_acks)

    def _begin_entering(self, incarnation, next_sequence, now):
        change = self._changes.get(incarnation)
        if change is not None and change.is_entering:
            return
        pending_acks = {each: next_sequence(each) for each in self._list_tracked()}
        self._changes[incarnation] = _Change(now, True, pending_acks)

    def _finish_changes(self, now):
        for each, change in list(self._changes.items()):
            is_due = now >= change.started_at + self._suspect_s
            if change.pending_acks and not is_due:
                continue
            del self._changes[each]
            if change.is_entering:
                self.settled.add(each)
            else:
                self._drop(each)
