"""Computes the changes that this node writes to the membership document."""

import math

from heatherpick._core.effects import ListVms
from heatherpick._core.membership import make_membership_name
from heatherpick._core.membership_store import MembershipStore

__all__ = ["MembershipUpdater"]


class MembershipUpdater:
    """Adds this node to the membership and, as coordinator, maintains the document.

    The coordinator is the first live member by name. Every change is computed from
    the newest document that this node holds and is written only over that version,
    so any node may write, and concurrent writes are safe.
    """

    def __init__(self, own, data_centre, documents, links, voting, timings):
        self._own = own
        self._data_centre = data_centre
        self._documents = documents
        self._links = links
        self._voting = voting
        self._timings = timings
        self._document_name = make_membership_name(data_centre)
        self._store = MembershipStore(self._document_name, own.incarnation)
        self._started_at = 0.0
        self._has_joined = False
        self._is_removal_requested = False
        self._adopted_at = 0.0
        self._has_ended_older_calls = False
        self._joint_since = 0.0
        self._joint_quorum = ()
        self._first_seen_at = {}
        self._gone_since = {}
        self._missing_since = {}
        self._vms_listed_at = -math.inf

    def start(self, now):
        """Return the effects of the first read of the document."""
        self._started_at = now
        return self._store.read(now)

    def request_removal(self):
        """Remove this node from the membership at the next possible write."""
        self._is_removal_requested = True

    def allow_next_call(self):
        """Permit the next call to the platform."""
        self._store.allow_next_call()

    def handle_response(self, event, now):
        """Store the version of the document that a platform response confirms."""
        response = self._store.handle_response(event)
        if response is not None:
            version, body = response
            self._documents.learn(self._document_name, version, body, now)

    def handle_conflict(self, event, now):
        """Store the newer document and return the timer for the next attempt."""
        self.handle_response(event, now)
        return self._store.delay_after_conflict(now)

    def handle_failure(self, event, now):
        """Return the timer for the next attempt after a call without a response."""
        return self._store.handle_failure(event, now)

    def handle_vms(self, event, now):
        """Record which members' VMs are missing from the platform's list since when."""
        listed = event.live | event.leaving
        for member in self._voting.membership.universe:
            if member.node in listed:
                self._missing_since.pop(member.incarnation, None)
            else:
                self._missing_since.setdefault(member.incarnation, now)

    def handle_membership_change(self, now):
        """Record when this node adopted the newest membership."""
        membership = self._voting.membership
        self._adopted_at = now
        self._has_ended_older_calls = False
        self._has_joined = self._has_joined or self._voting.is_member
        if membership.previous != self._joint_quorum:
            self._joint_quorum = membership.previous
            self._joint_since = now
        present = {each.incarnation for each in membership.universe}
        for since_by_incarnation in (self._first_seen_at, self._missing_since):
            for incarnation in since_by_incarnation.keys() - present:
                del since_by_incarnation[incarnation]
        for incarnation in present:
            self._first_seen_at.setdefault(incarnation, now)
        self._gone_since = {
            each: self._gone_since.get(each, now) for each in membership.gone
        }

    def update(self, now):
        """Return the effects of the next read, write or VM list that is due, if any."""
        if not self._store.can_call(now):
            return []
        if not self._store.has_read:
            return self._store.read(now) if self._needs_platform() else []
        updated = self._compute_update(now)
        if updated is not None and updated != self._voting.membership:
            return self._store.write(updated, now)
        return self._list_vms(now)

    def _needs_platform(self):
        return (
            not self._voting.is_member
            or self._is_removal_requested
            or self._is_coordinator()
        )

    def _compute_update(self, now):
        membership = self._voting.membership
        if self._is_removal_requested:
            own = {self._own.incarnation}
            return membership.remove(own, own) if self._voting.is_member else None
        if self._voting.is_leaving:
            return None
        if self._voting.is_member and not self._is_coordinator():
            return None
        if self._voting.is_member and self._can_settle(now):
            return membership.settle()
        is_on_hold = self._is_on_hold(now)
        if self._voting.is_member:
            return self._update_members(membership, is_on_hold, now)
        if is_on_hold or not self._may_join(now):
            return None
        return membership.add(self._own)

    def _update_members(self, membership, is_on_hold, now):
        ended = {
            each.incarnation
            for each in membership.universe
            if each.incarnation not in membership.gone
            and self._has_ended(each.incarnation, now)
        }
        lost = set() if is_on_hold else self._list_lost(membership, ended, now)
        if lost or ended:
            membership = membership.remove(lost, ended)
        for link in () if is_on_hold else self._list_joining(now):
            membership = membership.add(link.as_member())
        return membership

    def _is_coordinator(self):
        """Return whether this node is the first live member by name."""
        if not self._voting.is_member:
            return False
        members = self._voting.membership.members
        live = [
            each.node for each in members if each.incarnation in self._voting.eligible
        ]
        return bool(live) and min(live) == self._own.node

    def _is_on_hold(self, now):
        """Return whether further changes wait until the previous one is settled."""
        if not self._voting.membership.previous:
            return False
        phase_s = (now - self._joint_since) % self._timings.change_period_s
        return phase_s >= self._timings.change_window_s

    def _may_join(self, now):
        members = self._voting.membership.members
        live = self._voting.eligible - {self._own.incarnation}
        if self._has_joined:
            # A node that rejoined while it is cut off would be removed again.
            return 2 * len(live) >= len(members)
        if not members:
            return True
        return now >= self._started_at + self._timings.join_wait_s

    def _list_joining(self, now):
        members = self._voting.membership.members
        live = {
            each.node for each in members if each.incarnation in self._voting.eligible
        }
        return [
            link
            for link in self._links.list_connected()
            if link.data_centre == self._data_centre
            and link.incarnation not in self._voting.membership.bit_by_incarnation
            and link.node not in live
            and not link.is_leaving
            and self._voting.has_recent_heartbeat(link.incarnation, now)
        ]

    def _list_lost(self, membership, ended, now):
        """Return the members to remove.

        Silent members, which may only be cut off, are removed if they are at most a
        third of all, because they then cannot act on the older document.
        """
        proved_ended = {
            each for each in ended if each in membership.member_by_incarnation
        }
        silent = {
            each.incarnation
            for each in membership.members
            if self._is_silent(each.incarnation, now)
        }
        lost = proved_ended | silent
        n_members = len(membership.members)
        return lost if 3 * len(silent - proved_ended) <= n_members else proved_ended

    def _is_silent(self, incarnation, now):
        """Return whether no live member has a recent heartbeat of a member."""
        if incarnation == self._own.incarnation:
            return False
        link = self._links.get(incarnation)
        last_received_at = (
            self._first_seen_at[incarnation] if link is None else link.last_received_at
        )
        last_received_at = max(last_received_at, self._first_seen_at[incarnation])
        if now < last_received_at + self._timings.remove_after_s:
            return False
        return not self._voting.is_live_for_others(incarnation)

    def _has_ended(self, incarnation, now):
        """Return whether an incarnation is known to have ended.

        It has said that it is released, or its VM is missing from the platform's list
        for long enough.
        """
        if incarnation == self._own.incarnation:
            return False
        link = self._links.get(incarnation)
        if link is not None and link.is_released:
            return True
        if self._voting.has_recent_heartbeat(incarnation, now):
            return False
        missing_since = self._missing_since.get(incarnation, now)
        return now - missing_since >= self._timings.vm_missing_s

    def _can_settle(self, now):
        """Return whether no node can act on an older document any more.

        Either every node that may still run is known to act on the current document,
        or two thirds of the voters before the change have done so for longer than
        the leases of their earlier votes can last.
        """
        membership = self._voting.membership
        if not membership.previous:
            return False
        self._has_ended_older_calls = (
            self._has_ended_older_calls or not self._voting.may_have_excess(now)
        )
        if all(
            self._has_only_current_calls(each.incarnation, now)
            for each in membership.universe
        ):
            return True
        wait_s = self._timings.suspect_after_s
        n_switched = sum(
            self._last_older_vote_at(each) + wait_s <= now
            for each in membership.previous
        )
        return 3 * n_switched >= 2 * len(membership.previous)

    def _has_only_current_calls(self, incarnation, now):
        if incarnation in self._gone_since:
            return self._gone_since[incarnation] + self._timings.max_call_s <= now
        if incarnation == self._own.incarnation:
            return self._has_ended_older_calls
        link = self._links.get(incarnation)
        epoch = self._voting.membership.epoch
        return link is not None and link.epoch >= epoch and link.has_ended_older_calls

    def _last_older_vote_at(self, incarnation):
        """Return when a voter last used an older document; infinity if unknown."""
        if incarnation in self._gone_since:
            return self._gone_since[incarnation]
        if incarnation == self._own.incarnation:
            return self._adopted_at
        link = self._links.get(incarnation)
        if link is None or link.epoch < self._voting.membership.epoch:
            return math.inf
        return link.epoch_seen_at

    def _list_vms(self, now):
        membership = self._voting.membership
        unconfirmed = [
            each
            for each in membership.universe
            if each.incarnation not in membership.gone
            and each.incarnation != self._own.incarnation
            and not self._voting.has_recent_heartbeat(each.incarnation, now)
        ]
        is_due = now >= self._vms_listed_at + self._timings.vm_poll_interval_s
        if not unconfirmed or not is_due or not self._is_coordinator():
            return []
        self._vms_listed_at = now
        return [ListVms()]
