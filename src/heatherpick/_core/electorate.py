"""The vote of this node, the votes that it holds, and what they permit."""

import math
from dataclasses import dataclass

from heatherpick._core.links import Ballot
from heatherpick._core.membership import Membership
from heatherpick._core.shares import Share, weigh
from heatherpick._core.tally import Tally
from heatherpick._core.views import View

__all__ = ["Electorate"]

#: Memberships that are remembered to read the ballots of nodes that lag behind.
N_EPOCHS = 16


@dataclass(frozen=True, slots=True)
class _CachedShare:
    share: Share
    until: float


class Electorate:
    """Leases, votes and shares of one data centre's members.

    Every answer is worked out from ``now``, never from a timer: a process that was
    stopped finds its leases ended by the first event that it handles.

    Attributes
    ----------
    membership : Membership
        Newest membership of this data centre.
    eligible : set of str
        Incarnations that groups may be owned by, this node's among them.
    generation : int
        Rises whenever an owner or a share may have changed.
    has_changed : bool
        Set when this node's vote or liveness changes; whoever acts on it resets it.
    """

    def __init__(self, incarnation, links, timings):
        self.membership = Membership()
        self.eligible = set()
        self.generation = 0
        self.is_leaving = False
        self.has_changed = True
        self._own = incarnation
        self._links = links
        self._timings = timings
        self._view = View(timings.suspect_after_s)
        self._tally = Tally()
        self._memberships = {0: self.membership}
        self._grouping = 0
        self._ballot = Ballot()
        self._shares = {}
        self._over_until = -math.inf
        self._horizon = -math.inf

    @property
    def is_member(self):
        """Whether this start of the node stands in the membership."""
        return self._own in self.membership.by_incarnation

    @property
    def ballot(self):
        """The vote of this node as its heartbeats state it."""
        return self._ballot

    def adopt(self, membership, now):
        """Act on a newer membership from now on."""
        self.membership = membership
        self._memberships[membership.epoch] = membership
        for epoch in sorted(self._memberships)[:-N_EPOCHS]:
            del self._memberships[epoch]
        for link in self._links.list_all():
            self._read_ballot(link, now)
        self._note_change(now)

    def regroup(self, grouping, now):
        """Cast votes for other groups of upstreams from now on."""
        if grouping == self._grouping:
            return
        is_first = self._grouping == 0
        self._grouping = grouping
        if not is_first:
            self._view.withhold(self._next_sequence, now)
        self._note_change(now)

    def take_heartbeat(self, link, heartbeat, now):
        """Take in the votes and acknowledgements of a fellow member's heartbeat.

        Returns
        -------
        bool
            Whether the peer's votes changed, so that it waits for an answer.
        """
        had_lapsed = link.ballot_agreed + self._timings.vote_lease_s <= now
        stated = Ballot(
            heartbeat.epoch,
            int.from_bytes(heartbeat.settled, "little"),
            int.from_bytes(heartbeat.unsettled, "little"),
            heartbeat.grouping,
        )
        is_changed = stated != link.stated
        link.stated = stated
        if self._read_ballot(link, now) or had_lapsed:
            self._forget()
        is_done = not heartbeat.has_excess and self._view.acknowledge(
            link.incarnation, heartbeat.echo
        )
        if is_done or self._concerns_view(link, now):
            self._horizon = -math.inf
        return is_changed

    def leave(self, now):
        """Admit nothing and take no votes any more."""
        self.is_leaving = True
        self._note_change(now)

    def refresh(self, now):
        """Bring liveness up to ``now``."""
        if now < self._horizon:
            return
        if self._view.unsettled and not self.is_over(now):
            self._view.acknowledge(self._own, 0)
        eligible = self._list_eligible(now)
        changed = self._view.revise(
            eligible, self._list_lapsed(now), self._next_sequence, now
        )
        changed = changed or eligible != self.eligible
        self.eligible = eligible
        ballot = self._cast()
        changed = changed or ballot != self._ballot
        if ballot != self._ballot:
            if self._may_lose(self._ballot, ballot):
                self._note_loss(now)
            self._ballot = ballot
        if changed:
            self.has_changed = True
            self._forget()
        self._horizon = self._find_horizon(now)

    def is_over(self, now):
        """Return whether calls may run that the present shares do not permit."""
        return now < self._over_until

    def clear(self):
        """Note that no call runs that the present shares do not permit."""
        self._over_until = -math.inf
        if self._view.acknowledge(self._own, 0):
            self._horizon = -math.inf

    def is_heard(self, incarnation, now):
        """Return whether a peer has been heard within the suspicion time."""
        link = self._links.get(incarnation)
        return link is not None and now < link.heard + self._timings.suspect_after_s

    def is_heard_by_others(self, incarnation):
        """Return whether the votes of another live member count on a member."""
        others = self.eligible - {self._own}
        return any(self._names(each, incarnation) for each in others)

    def list_live(self):
        """Return the names of the members that groups may be owned by."""
        members = self.membership.members
        return [each.node for each in members if each.incarnation in self.eligible]

    def find_wake(self, now):
        """Return when others are to be told of the end of a change, or None."""
        ends = [self._view.next_end()] if self._view.unsettled else []
        if self.is_over(now):
            ends.append(self._over_until)
        return min(ends, default=None)

    def share_of(self, group, now):
        """Return the `Share` of each upstream of a group, by the group's name."""
        self.refresh(now)
        cached = self._shares.get(group)
        if cached is None or now >= cached.until:
            cached = self._work_out(group, now)
            self._shares[group] = cached
        return cached.share

    def _names(self, voter, incarnation):
        ballot = self._links.get(voter).ballot
        membership = self._memberships.get(ballot.epoch, self.membership)
        bit = membership.bits.get(incarnation)
        either = ballot.settled | ballot.unsettled
        return bit is not None and bool(either & 1 << bit)

    def _work_out(self, group, now):
        if self.is_leaving or not self.is_member:
            return _CachedShare(Share(), math.inf)
        leases = self._list_votes(group, now)
        quorums = self.membership.quorums
        level = min(self._weigh(quorum, leases) for quorum in quorums)
        return _CachedShare(Share(level), min(leases.values(), default=math.inf))

    def _weigh(self, quorum, leases):
        n_votes = sum(1 for each in leases if each in quorum)
        first = self._tally.find_tie_breaker(self.membership, quorum)
        return weigh(n_votes, len(quorum), first in leases)

    def _list_votes(self, group, now):
        """Return the end of each vote that this node holds, by its voter."""
        leases = {}
        for member in self.membership.universe:
            voter = member.incarnation
            link = self._links.get(voter)
            if voter == self._own:
                ballot, end = self._ballot, math.inf
            elif link is not None:
                ballot, end = (
                    link.ballot,
                    link.ballot_agreed + self._timings.vote_lease_s,
                )
            else:
                continue
            if now < end and self._has_vote(ballot, group):
                leases[voter] = end
        return leases

    def _has_vote(self, ballot, group):
        membership = self._memberships.get(ballot.epoch)
        if membership is None or ballot.grouping != self._grouping:
            return False
        return self._tally.find_choice(membership, ballot, group) == self._own

    def _read_ballot(self, link, now):
        """Put a link's newest ballot in force if its epoch is known."""
        if link.stated.epoch not in self._memberships:
            link.is_unread = True
            return False
        link.is_unread = False
        link.ballot_agreed = link.agreed
        if link.ballot == link.stated:
            return False
        if self._may_lose(link.ballot, link.stated):
            self._note_loss(now)
        link.ballot = link.stated
        return True

    def _may_lose(self, old, new):
        """Return whether a vote that this node held may be missing in ``new``."""
        if (old.epoch, old.grouping) != (new.epoch, new.grouping):
            return True
        bit = self._memberships[new.epoch].bits.get(self._own)
        if bit is not None and old.settled & ~new.settled & (1 << bit):
            return True
        added = (new.settled | new.unsettled) & ~(old.settled | old.unsettled)
        return added != 0

    def _concerns_view(self, link, now):
        if link.released:
            return True
        is_known = link.incarnation in self.eligible
        return is_known != self._is_eligible(link.incarnation, now)

    def _list_eligible(self, now):
        return {
            each.incarnation
            for each in self.membership.members
            if self._is_eligible(each.incarnation, now)
        }

    def _is_eligible(self, incarnation, now):
        if incarnation == self._own:
            return not self.is_leaving
        link = self._links.get(incarnation)
        if link is None or link.leaving:
            return False
        # A member that this node hears but that does not hear it cannot count its
        # vote, so the vote would be lost on it.
        oldest = min(link.heard, link.agreed)
        return now < oldest + self._timings.suspect_after_s

    def _list_lapsed(self, now):
        held = self._view.settled | set(self._view.unsettled)
        held.discard(self._own)
        return {each for each in held if self._has_lapsed(each, now)}

    def _has_lapsed(self, incarnation, now):
        link = self._links.get(incarnation)
        if link is None or link.released:
            return True
        return not self.is_heard(incarnation, now)

    def _cast(self):
        if not self.is_member:
            return Ballot(self.membership.epoch, 0, 0, self._grouping)
        return Ballot(
            self.membership.epoch,
            self._encode(self._view.settled),
            self._encode(self._view.unsettled),
            self._grouping,
        )

    def _encode(self, incarnations):
        bits = self.membership.bits
        return sum(1 << bits[each] for each in incarnations if each in bits)

    def _find_horizon(self, now):
        ends = [self._view.next_end() or math.inf]
        if self.is_over(now):
            ends.append(self._over_until)
        for each in self._view.settled | set(self._view.unsettled):
            link = self._links.get(each)
            if link is not None:
                oldest = min(link.heard, link.agreed)
                ends.append(oldest + self._timings.suspect_after_s)
                ends.append(link.heard + self._timings.suspect_after_s)
        return min((end for end in ends if end > now), default=math.inf)

    def _next_sequence(self, incarnation):
        link = self._links.get(incarnation)
        return 0 if link is None else link.n_sent + 1

    def _note_loss(self, now):
        self._over_until = now + self._timings.max_call_s

    def _note_change(self, now):
        self._note_loss(now)
        self._horizon = -math.inf
        self._forget()

    def _forget(self):
        self._shares.clear()
        self.generation += 1
