"""Decides which change of the membership document this node should write."""

import math

from heatherpick._core.effects import ListVms
from heatherpick._core.membership import name_membership
from heatherpick._core.registration import Registration

__all__ = ["Registrar"]


class Registrar:
    """Joins, and as the first live member by name keeps the document up to date.

    Every change is worked out from the newest document that this node knows and
    holds for that version only, so any node may write it and two may race.
    """

    def __init__(self, own, data_centre, documents, links, electorate, timings):
        self._own = own
        self._data_centre = data_centre
        self._documents = documents
        self._links = links
        self._electorate = electorate
        self._timings = timings
        self._name = name_membership(data_centre)
        self._registration = Registration(self._name, own.incarnation)
        self._started = 0.0
        self._has_joined = False
        self._is_released = False
        self._epoch_at = 0.0
        self._has_moved = False
        self._joint_at = 0.0
        self._joint_quorum = ()
        self._known_at = {}
        self._gone_at = {}
        self._missing_at = {}
        self._vms_at = -math.inf

    def start(self, now):
        """Return effects that read the document for the first time."""
        self._started = now
        return self._registration.read(now)

    def release(self):
        """Leave the membership as soon as the platform lets it."""
        self._is_released = True

    def wake(self):
        """Permit the next call to the platform."""
        self._registration.wake()

    def take_answer(self, event, now):
        """Learn the document that an answer of the platform proves."""
        answer = self._registration.finish(event)
        if answer is not None:
            version, body = answer
            self._documents.learn(self._name, version, body, now)

    def take_conflict(self, event, now):
        """Learn the newer document and return the timer for the next try."""
        self.take_answer(event, now)
        return self._registration.wait_for_turn(now)

    def take_failure(self, event, now):
        """Return the timer for the next try after a call without an answer."""
        return self._registration.fail(event, now)

    def take_vms(self, event, now):
        """Note which VMs the platform's list misses, and since when."""
        listed = event.live | event.leaving
        for member in self._electorate.membership.universe:
            if member.node in listed:
                self._missing_at.pop(member.incarnation, None)
            else:
                self._missing_at.setdefault(member.incarnation, now)

    def note_membership(self, now):
        """Note when the newest membership came into force here."""
        membership = self._electorate.membership
        self._epoch_at = now
        self._has_moved = False
        self._has_joined = self._has_joined or self._electorate.is_member
        if membership.previous != self._joint_quorum:
            self._joint_quorum = membership.previous
            self._joint_at = now
        present = {each.incarnation for each in membership.universe}
        for times in (self._known_at, self._missing_at):
            for incarnation in times.keys() - present:
                del times[incarnation]
        for incarnation in present:
            self._known_at.setdefault(incarnation, now)
        self._gone_at = {each: self._gone_at.get(each, now) for each in membership.gone}

    def act(self, now):
        """Return effects that move the document on, if it is this node's turn."""
        if not self._registration.is_free(now):
            return []
        if not self._registration.has_read:
            return self._registration.read(now) if self._needs_platform() else []
        wanted = self._work_out(now)
        if wanted is not None and wanted != self._electorate.membership:
            return self._registration.write(wanted, now)
        return self._list_vms(now)

    def _needs_platform(self):
        return not self._electorate.is_member or self._is_released or self._is_first()

    def _work_out(self, now):
        membership = self._electorate.membership
        if self._is_released:
            own = {self._own.incarnation}
            return membership.remove(own, own) if self._electorate.is_member else None
        if self._electorate.is_leaving:
            return None
        if self._electorate.is_member and not self._is_first():
            return None
        if self._electorate.is_member and self._can_settle(now):
            return membership.settle()
        is_held = self._is_held(now)
        if self._electorate.is_member:
            return self._update(membership, is_held, now)
        if is_held or not self._may_join(now):
            return None
        return membership.add(self._own)

    def _update(self, membership, is_held, now):
        ended = {
            each.incarnation
            for each in membership.universe
            if each.incarnation not in membership.gone
            and self._has_ended(each.incarnation, now)
        }
        lost = set() if is_held else self._list_lost(membership, ended, now)
        if lost or ended:
            membership = membership.remove(lost, ended)
        for link in () if is_held else self._list_newcomers(now):
            membership = membership.add(link.as_member())
        return membership

    def _is_first(self):
        """Return whether this node is the first live member by name."""
        if not self._electorate.is_member:
            return False
        members = self._electorate.membership.members
        live = [
            each.node
            for each in members
            if each.incarnation in self._electorate.eligible
        ]
        return bool(live) and min(live) == self._own.node

    def _is_held(self, now):
        """Return whether further changes wait for the one before to settle."""
        if not self._electorate.membership.previous:
            return False
        age = (now - self._joint_at) % self._timings.change_period_s
        return age >= self._timings.change_window_s

    def _may_join(self, now):
        members = self._electorate.membership.members
        live = self._electorate.eligible - {self._own.incarnation}
        if self._has_joined:
            # A node that was removed while it is cut off would be removed again.
            return 2 * len(live) >= len(members)
        if not members:
            return True
        return now >= self._started + self._timings.join_wait_s

    def _list_newcomers(self, now):
        members = self._electorate.membership.members
        live = {
            each.node
            for each in members
            if each.incarnation in self._electorate.eligible
        }
        return [
            link
            for link in self._links.list_connected()
            if link.data_centre == self._data_centre
            and link.incarnation not in self._electorate.membership.bits
            and link.node not in live
            and not link.leaving
            and self._electorate.is_heard(link.incarnation, now)
        ]

    def _list_lost(self, membership, ended, now):
        """Return the members to remove.

        Members that may only be cut off are removed together as long as they are
        no more than a third, because they cannot act on the older document then.
        """
        proved = {each for each in ended if each in membership.by_incarnation}
        silent = {
            each.incarnation
            for each in membership.members
            if self._is_silent(each.incarnation, now)
        }
        lost = proved | silent
        n_members = len(membership.members)
        return lost if 3 * len(silent - proved) <= n_members else proved

    def _is_silent(self, incarnation, now):
        """Return whether neither this node nor a live one hears a member."""
        if incarnation == self._own.incarnation:
            return False
        link = self._links.get(incarnation)
        heard = self._known_at[incarnation] if link is None else link.heard
        heard = max(heard, self._known_at[incarnation])
        if now < heard + self._timings.remove_after_s:
            return False
        return not self._electorate.is_heard_by_others(incarnation)

    def _has_ended(self, incarnation, now):
        """Return whether it is proved that a start of a node runs no more."""
        if incarnation == self._own.incarnation:
            return False
        link = self._links.get(incarnation)
        if link is not None and link.released:
            return True
        if self._electorate.is_heard(incarnation, now):
            return False
        missing = self._missing_at.get(incarnation, now)
        return now - missing >= self._timings.vm_missing_s

    def _can_settle(self, now):
        """Return whether nobody can act on a document before the present one.

        Either every node that may run is known to act on it, or two thirds of the
        voters before the change have done so for longer than their votes of before
        can last.
        """
        membership = self._electorate.membership
        if not membership.previous:
            return False
        self._has_moved = self._has_moved or not self._electorate.is_over(now)
        if all(self._acts_on(each.incarnation, now) for each in membership.universe):
            return True
        wait_s = self._timings.suspect_after_s
        n_moved = sum(
            self._voted_until(each) + wait_s <= now for each in membership.previous
        )
        return 3 * n_moved >= 2 * len(membership.previous)

    def _acts_on(self, incarnation, now):
        if incarnation in self._gone_at:
            return self._gone_at[incarnation] + self._timings.max_call_s <= now
        if incarnation == self._own.incarnation:
            return self._has_moved
        link = self._links.get(incarnation)
        epoch = self._electorate.membership.epoch
        return link is not None and link.epoch >= epoch and link.has_moved

    def _voted_until(self, incarnation):
        """Return when a voter last voted under an older document, as far as known."""
        if incarnation in self._gone_at:
            return self._gone_at[incarnation]
        if incarnation == self._own.incarnation:
            return self._epoch_at
        link = self._links.get(incarnation)
        if link is None or link.epoch < self._electorate.membership.epoch:
            return math.inf
        return link.epoch_at

    def _list_vms(self, now):
        membership = self._electorate.membership
        doubtful = [
            each
            for each in membership.universe
            if each.incarnation not in membership.gone
            and each.incarnation != self._own.incarnation
            and not self._electorate.is_heard(each.incarnation, now)
        ]
        is_due = now >= self._vms_at + self._timings.vm_poll_interval_s
        if not doubtful or not is_due or not self._is_first():
            return []
        self._vms_at = now
        return [ListVms()]
