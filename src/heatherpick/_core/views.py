"""Whom this node's votes go to, and how a vote moves without counting twice.

A node has one vote for each group. It goes to the first by rank among the members
in the node's view. The holder of a vote goes on counting it until it hears of a
change or until its lease ends, so a vote that moves between two members that are
both alive must not count for the new one before the old one knows. Until then the
member that comes or goes stands as *unsettled* in every heartbeat, and a vote that
would go to an unsettled member counts for nobody.
"""

from dataclasses import dataclass, field

__all__ = ["View"]


@dataclass(slots=True)
class _Change:
    started_at: float
    is_entering: bool
    #: First sequence to each member by which that member knows of the change.
    pending_acks: dict[str, int] = field(default_factory=dict)


class View:
    """Members that this node votes for. Names here are incarnations.

    Attributes
    ----------
    settled : set of str
        Members whose votes count.
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
        """Bring the view up to date and return whether it changed.

        Parameters
        ----------
        eligible : set of str
            Members that votes should go to.
        lapsed : set of str
            Those of the view that can hold no vote any more, because their leases
            have ended or because they said so.
        sequences : callable
            Gives the next sequence of a heartbeat to an incarnation.
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
        """Let no vote count until every member knows of what has changed."""
        pending_acks = {each: next_sequence(each) for each in self._list_tracked()}
        for each in self._list_tracked():
            change = self._changes.get(each)
            if change is None or change.is_entering:
                self._changes[each] = _Change(now, True, dict(pending_acks))
        self.settled.clear()

    def acknowledge(self, incarnation, sequence):
        """Note that a member acts on what heartbeat ``sequence`` told it.

        Returns
        -------
        bool
            Whether a change waits for nobody any more.
        """
        is_change_complete = False
        for change in self._changes.values():
            if change.pending_acks.get(incarnation, sequence + 1) <= sequence:
                del change.pending_acks[incarnation]
                is_change_complete = is_change_complete or not change.pending_acks
        return is_change_complete

    def next_timeout(self):
        """Return when a change ends by itself, None when there is none."""
        started_at = [change.started_at for change in self._changes.values()]
        return min(started_at) + self._suspect_s if started_at else None

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
