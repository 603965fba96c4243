"""The votes that this node casts and holds, and the shares that they permit."""

import math
from dataclasses import dataclass

from heatherpick._core.links import Ballot
from heatherpick._core.membership import Membership
from heatherpick._core.shares import Share, compute_level
from heatherpick._core.tally import Tally
from heatherpick._core.views import View

__all__ = ["VotingState"]

#: Memberships that are kept to decode the ballots of nodes with an older document.
MAX_EPOCHS = 16


@dataclass(frozen=True, slots=True)
class _CachedShare:
    share: Share
    valid_until: float


class VotingState:
    """Leases, votes and shares of one data centre's members.

    Results depend on ``now`` and never on a timer, so a process that was suspended
    finds its leases expired at the first event that it handles.

    Excess calls are running calls that the current shares no longer permit. Peers
    that wait for a vote are told when there may be none left.

    Attributes
    ----------
    membership : Membership
        Newest membership of this data centre.
    eligible : set of str
        Incarnations of members that may own groups; may include this node's.
    generation : int
        Incremented whenever an owner or a share may have changed.
    has_changed : bool
        Set when this node's ballot or the eligible members change; its reader resets
        it.
    """

    def __init__(self, incarnation, links, timings):
        self.membership = Membership()
        self.eligible = set()
        self.generation = 0
        self.is_leaving = False
        self.has_changed = True
        self._own_incarnation = incarnation
        self._links = links
        self._timings = timings
        self._view = View(timings.suspect_after_s)
        self._tally = Tally()
        self._memberships = {0: self.membership}
        self._grouping = 0
        self._ballot = Ballot()
        self._shares = {}
        self._excess_until = -math.inf
        self._next_refresh = -math.inf

    @property
    def is_member(self):
        """Whether this incarnation of the node is in the membership."""
        return self._own_incarnation in self.membership.member_by_incarnation

    @property
    def ballot(self):
        """The `Ballot` that this node's heartbeats carry."""
        return self._ballot

    def adopt(self, membership, now):
        """Replace the membership by a newer one."""
        self.membership = membership
        self._memberships[membership.epoch] = membership
        for epoch in sorted(self._memberships)[:-MAX_EPOCHS]:
            del self._memberships[epoch]
        for link in self._links.list_all():
            self._apply_ballot(link, now)
        self._handle_change(now)

    def set_grouping(self, grouping, now):
        """Set the hash of the groups of upstreams that votes are for."""
        if grouping == self._grouping:
            return
        is_first = self._grouping == 0
        self._grouping = grouping
        if not is_first:
            self._view.suspend_votes(self._next_sequence, now)
        self._handle_change(now)

    def handle_heartbeat(self, link, heartbeat, now):
        """Handle the votes and acknowledgements of another member's heartbeat.

        Returns
        -------
        bool
            Whether the peer's votes changed, so that it waits for a heartbeat in reply.
        """
        had_expired = link.ballot_lease_start + self._timings.vote_lease_s <= now
        stated_ballot = Ballot(
            heartbeat.epoch,
            int.from_bytes(heartbeat.settled, "little"),
            int.from_bytes(heartbeat.unsettled, "little"),
            heartbeat.grouping,
        )
        is_changed = stated_ballot != link.stated_ballot
        link.stated_ballot = stated_ballot
        if self._apply_ballot(link, now) or had_expired:
            self._drop_cached_shares()
        is_change_complete = not heartbeat.has_excess and self._view.acknowledge(
            link.incarnation, heartbeat.echo
        )
        if is_change_complete or self._affects_view(link, now):
            self._next_refresh = -math.inf
        return is_changed

    def leave(self, now):
        """Give up all shares and stop being eligible for votes."""
        self.is_leaving = True
        self._handle_change(now)

    def refresh(self, now):
        """Update liveness, the view and this node's ballot to ``now``."""
        if now < self._next_refresh:
            return
        if self._view.unsettled and not self.may_have_excess(now):
            self._view.acknowledge(self._own_incarnation, 0)
        eligible = self._list_eligible(now)
        changed = self._view.update(
            eligible, self._list_expired(now), self._next_sequence, now
        )
        changed = changed or eligible != self.eligible
        self.eligible = eligible
        ballot = self._build_ballot()
        changed = changed or ballot != self._ballot
        if ballot != self._ballot:
            if self._may_lose_vote(self._ballot, ballot):
                self._start_excess_period(now)
            self._ballot = ballot
        if changed:
            self.has_changed = True
            self._drop_cached_shares()
        self._next_refresh = self._compute_next_refresh(now)

    def may_have_excess(self, now):
        """Return whether calls may be running that the current shares do not permit."""
        return now < self._excess_until

    def clear_excess(self):
        """Record that no running call exceeds the current shares."""
        self._excess_until = -math.inf
        if self._view.acknowledge(self._own_incarnation, 0):
            self._next_refresh = -math.inf

    def has_recent_heartbeat(self, incarnation, now):
        """Return whether a heartbeat of a peer arrived within the suspicion time."""
        link = self._links.get(incarnation)
        return (
            link is not None
            and now < link.last_received_at + self._timings.suspect_after_s
        )

    def is_live_for_others(self, incarnation):
        """Return whether the ballot of another eligible member includes a member."""
        others = self.eligible - {self._own_incarnation}
        return any(self._ballot_includes(each, incarnation) for each in others)

    def list_live(self):
        """Return the names of the members that may own groups."""
        members = self.membership.members
        return [each.node for each in members if each.incarnation in self.eligible]

    def find_wake_time(self, now):
        """Return the next time at which a change may end, or None."""
        ends = [self._view.next_timeout()] if self._view.unsettled else []
        if self.may_have_excess(now):
            ends.append(self._excess_until)
        return min(ends, default=None)

    def share_of(self, group, now):
        """Return this node's `Share` of each upstream of a group, given its name."""
        self.refresh(now)
        cached = self._shares.get(group)
        if cached is None or now >= cached.valid_until:
            cached = self._compute_share(group, now)
            self._shares[group] = cached
        return cached.share

    def _ballot_includes(self, voter, incarnation):
        ballot = self._links.get(voter).ballot
        membership = self._memberships.get(ballot.epoch, self.membership)
        bit = membership.bit_by_incarnation.get(incarnation)
        named = ballot.settled | ballot.unsettled
        return bit is not None and bool(named & 1 << bit)

    def _compute_share(self, group, now):
        if self.is_leaving or not self.is_member:
            return _CachedShare(Share(), math.inf)
        lease_ends = self._list_votes(group, now)
        quorums = self.membership.quorums
        level = min(self._compute_level(quorum, lease_ends) for quorum in quorums)
        return _CachedShare(Share(level), min(lease_ends.values(), default=math.inf))

    def _compute_level(self, quorum, lease_ends):
        n_votes = sum(1 for each in lease_ends if each in quorum)
        tie_breaker = self._tally.find_tie_breaker(self.membership, quorum)
        return compute_level(n_votes, len(quorum), tie_breaker in lease_ends)

    def _list_votes(self, group, now):
        """Return the end of the lease of each vote that this node holds, by voter."""
        lease_ends = {}
        for member in self.membership.universe:
            voter = member.incarnation
            link = self._links.get(voter)
            if voter == self._own_incarnation:
                ballot, end = self._ballot, math.inf
            elif link is not None:
                ballot, end = (
                    link.ballot,
                    link.ballot_lease_start + self._timings.vote_lease_s,
                )
            else:
                continue
            if now < end and self._has_vote(ballot, group):
                lease_ends[voter] = end
        return lease_ends

    def _has_vote(self, ballot, group):
        membership = self._memberships.get(ballot.epoch)
        if membership is None or ballot.grouping != self._grouping:
            return False
        return (
            self._tally.find_choice(membership, ballot, group) == self._own_incarnation
        )

    def _apply_ballot(self, link, now):
        """Apply a link's newest ballot if its epoch is known.

        Returns whether the ballot in force changed.
        """
        if link.stated_ballot.epoch not in self._memberships:
            link.is_ballot_pending = True
            return False
        link.is_ballot_pending = False
        link.ballot_lease_start = link.lease_start
        if link.ballot == link.stated_ballot:
            return False
        if self._may_lose_vote(link.ballot, link.stated_ballot):
            self._start_excess_period(now)
        link.ballot = link.stated_ballot
        return True

    def _may_lose_vote(self, old, new):
        """Return whether this node may lose a vote when ``new`` replaces ``old``."""
        if (old.epoch, old.grouping) != (new.epoch, new.grouping):
            return True
        bit = self._memberships[new.epoch].bit_by_incarnation.get(self._own_incarnation)
        if bit is not None and old.settled & ~new.settled & (1 << bit):
            return True
        added = (new.settled | new.unsettled) & ~(old.settled | old.unsettled)
        return added != 0

    def _affects_view(self, link, now):
        if link.is_released:
            return True
        was_eligible = link.incarnation in self.eligible
        return was_eligible != self._is_eligible(link.incarnation, now)

    def _list_eligible(self, now):
        return {
            each.incarnation
            for each in self.membership.members
            if self._is_eligible(each.incarnation, now)
        }

    def _is_eligible(self, incarnation, now):
        if incarnation == self._own_incarnation:
            return not self.is_leaving
        link = self._links.get(incarnation)
        if link is None or link.is_leaving:
            return False
        # A member that receives no heartbeats of this node cannot count its vote, so
        # the vote would be wasted.
        oldest = min(link.last_received_at, link.lease_start)
        return now < oldest + self._timings.suspect_after_s

    def _list_expired(self, now):
        tracked = self._view.settled | set(self._view.unsettled)
        tracked.discard(self._own_incarnation)
        return {each for each in tracked if self._has_expired(each, now)}

    def _has_expired(self, incarnation, now):
        link = self._links.get(incarnation)
        if link is None or link.is_released:
            return True
        return not self.has_recent_heartbeat(incarnation, now)

    def _build_ballot(self):
        if not self.is_member:
            return Ballot(self.membership.epoch, 0, 0, self._grouping)
        return Ballot(
            self.membership.epoch,
            self._encode_bits(self._view.settled),
            self._encode_bits(self._view.unsettled),
            self._grouping,
        )

    def _encode_bits(self, incarnations):
        bit_by_incarnation = self.membership.bit_by_incarnation
        return sum(
            1 << bit_by_incarnation[each]
            for each in incarnations
            if each in bit_by_incarnation
        )

    def _compute_next_refresh(self, now):
        ends = [self._view.next_timeout() or math.inf]
        if self.may_have_excess(now):
            ends.append(self._excess_until)
        for each in self._view.settled | set(self._view.unsettled):
            link = self._links.get(each)
            if link is not None:
                oldest = min(link.last_received_at, link.lease_start)
                ends.append(oldest + self._timings.suspect_after_s)
                ends.append(link.last_received_at + self._timings.suspect_after_s)
        return min((end for end in ends if end > now), default=math.inf)

    def _next_sequence(self, incarnation):
        link = self._links.get(incarnation)
        return 0 if link is None else link.last_sent_sequence + 1

    def _start_excess_period(self, now):
        self._excess_until = now + self._timings.max_call_s

    def _handle_change(self, now):
        self._start_excess_period(now)
        self._next_refresh = -math.inf
        self._drop_cached_shares()

    def _drop_cached_shares(self):
        self._shares.clear()
        self.generation += 1
