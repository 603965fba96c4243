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
    started: float
    enters: bool
    #: First sequence to each member by which that member knows of the change.
    awaited: dict[str, int] = field(default_factory=dict)


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

    def revise(self, eligible, lapsed, sequences, now):
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
        for each in lapsed:
            self._drop(each)
        for each in sorted(self._list_held() - eligible):
            self._leave(each, sequences, now)
        for each in sorted(eligible - self.settled):
            self._enter(each, sequences, now)
        self._finish(now)
        return before != self._state()

    def withhold(self, sequences, now):
        """Let no vote count until every member knows of what has changed."""
        awaited = {each: sequences(each) for each in self._list_held()}
        for each in self._list_held():
            change = self._changes.get(each)
            if change is None or change.enters:
                self._changes[each] = _Change(now, True, dict(awaited))
        self.settled.clear()

    def acknowledge(self, incarnation, sequence):
        """Note that a member acts on what heartbeat ``sequence`` told it.

        Returns
        -------
        bool
            Whether a change waits for nobody any more.
        """
        is_done = False
        for change in self._changes.values():
            if change.awaited.get(incarnation, sequence + 1) <= sequence:
                del change.awaited[incarnation]
                is_done = is_done or not change.awaited
        return is_done

    def next_end(self):
        """Return when a change ends by itself, None when there is none."""
        started = [change.started for change in self._changes.values()]
        return min(started) + self._suspect_s if started else None

    def _state(self):
        return frozenset(self.settled), frozenset(self._changes)

    def _drop(self, incarnation):
        self.settled.discard(incarnation)
        self._changes.pop(incarnation, None)
        for change in self._changes.values():
            change.awaited.pop(incarnation, None)

    def _list_held(self):
        return self.settled | self._changes.keys()

    def _leave(self, incarnation, sequences, now):
        change = self._changes.get(incarnation)
        if change is not None and not change.enters:
            return
        self.settled.discard(incarnation)
        awaited = {incarnation: sequences(incarnation)}
        self._changes[incarnation] = _Change(now, False, awaited)

    def _enter(self, incarnation, sequences, now):
        change = self._changes.get(incarnation)
        if change is not None and change.enters:
            return
        awaited = {each: sequences(each) for each in self._list_held()}
        self._changes[incarnation] = _Change(now, True, awaited)

    def _finish(self, now):
        for each, change in list(self._changes.items()):
            is_due = now >= change.started + self._suspect_s
            if change.awaited and not is_due:
                continue
            del self._changes[each]
            if change.enters:
                self.settled.add(each)
            else:
                self._drop(each)
