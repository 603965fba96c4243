"""The owner's side of legs: queueing, sending and shedding for each upstream."""

from itertools import count

from heatherpick._core.calls import UpstreamCall
from heatherpick._core.deadlines import DeadlineIndex
from heatherpick._core.effects import CancelCall, Count, Observe
from heatherpick._core.messages import LegOutcome, LegStatus
from heatherpick._core.outcomes import OutcomeCollector
from heatherpick._core.queues import QueuedLeg, clamp_priority
from heatherpick._core.slots import (
    MAX_QUEUED_LEGS,
    UpstreamSlots,
)

__all__ = ["Admission"]

#: Longest remaining time that a batch may state, in milliseconds.
MAX_REMAINING_MS = 60_000.0

DEADLINE_TIMER = "admission:deadlines"


class Admission:
    """Admission control for the upstreams that this node owns.

    Parameters
    ----------
    node_name : str
        Name of this node.
    documents : Documents
        Has ``declarations`` and ``drains``.
    members : Members
        Has ``owner_of(group, now)`` and ``share_of(group, now)``.
    max_call_s : float
        Longest time that a call of legs may take. The next owner relies on it: this
        long after a node's votes have lapsed, none of its calls is at an upstream.
    """

    def __init__(self, node_name, documents, members, max_call_s):
        self._node_name = node_name
        self._max_call_ms = max_call_s * 1000.0
        self._documents = documents
        self._members = members
        self._declarations = documents.declarations
        self._drains = documents.drains
        self._slots = {}
        self._calls = {}
        # Even ids here and odd ones for orders keep the ids of both kinds distinct.
        self._call_ids = count(2, 2)
        self._open_legs = {}
        self._deadlines = DeadlineIndex(DEADLINE_TIMER)
        self._is_leaving = False

    @classmethod
    def from_parts(cls, node_name, documents, members, max_call_s):
        """Return the `Admission` of a node that owns no upstream yet."""
        return cls(node_name, documents, members, max_call_s)

    def handle_batch(self, source_node, batch, now):
        """Queue and send the legs of a `LegBatch`; return effects."""
        effects = self._apply_documents(now)
        collector = OutcomeCollector()
        legs, allowances = self._queue_legs(source_node, batch, collector, effects, now)
        for slots, allowance in allowances.items():
            self._send_waiting(slots, allowance, collector, effects, now)
        if any(leg.is_open for leg in legs):
            effects += self._deadlines.add(legs, legs[0].deadline, now)
        return effects + collector.build_effects()

    def handle_cancel(self, source_node, message, now):
        """End the legs that a `LegCancel` names; return effects."""
        open_legs = self._open_legs.get((source_node, message.request_id))
        if open_legs is None:
            return []
        legs = [open_legs[each] for each in message.leg_ids if each in open_legs]
        return self._end_legs(dict.fromkeys(legs), "cancelled")

    def handle_call_ended(self, event, now):
        """Report the outcomes of a `CallEnded` and reuse its slot; return effects."""
        effects = self._apply_documents(now)
        call = self._calls.pop(event.call_id, None)
        if call is None:
            return [*effects, Count("calls_strange", "unknown call")]
        slots = call.slots
        slots.n_in_flight -= 1
        collector = OutcomeCollector()
        matched = call.match_outcomes(event, effects)
        self._report_outcomes(call, matched, collector, effects)
        call.update_ramp(matched, event, now)
        effects.append(Observe("upstream_call_ms", slots.group.name, event.elapsed_ms))
        effects += call.build_spans(matched, now)
        self._dispatch(slots, collector, effects, now)
        return effects + collector.build_effects()

    def handle_timer(self, name, now):
        """End the legs whose deadline has passed; return effects."""
        due_batches, effects = self._deadlines.pop_due(now)
        legs = [leg for due_batch in due_batches for leg in due_batch if leg.is_open]
        for leg in legs:
            if leg.call is not None:
                leg.call.has_missed_deadline = True
        return effects + self._end_legs(legs, "deadline")

    def handle_source_lost(self, node, now):
        """Drop the legs of a node that was lost; return effects.

        Their outcomes cannot be delivered any more.
        """
        keys = [key for key in self._open_legs if key[0] == node]
        legs = [leg for key in keys for leg in self._open_legs[key].values()]
        effects = []
        for leg in legs:
            self._close_leg(leg)
            effects += self._cancel_if_unneeded(leg.call)
        if legs:
            effects.append(Count("legs_dropped", "source lost", len(legs)))
        return effects

    def handle_documents_changed(self, now):
        """Apply new declarations and drains; return effects."""
        self._declarations = self._documents.declarations
        self._drains = self._documents.drains
        effects = []
        collector = OutcomeCollector()
        for name, slots in list(self._slots.items()):
            self._update_declaration(slots, now)
            if slots.refusal:
                self._refuse_waiting(slots, slots.refusal, collector, effects, now)
            if slots.refusal == "unknown upstream" and slots.n_in_flight == 0:
                del self._slots[name]
        return effects + collector.build_effects()

    def begin_leaving(self, now):
        """Refuse all waiting and later work, as not sent; return effects."""
        self._is_leaving = True
        effects = []
        collector = OutcomeCollector()
        for slots in self._slots.values():
            self._refuse_waiting(slots, "leaving", collector, effects, now)
        return effects + collector.build_effects()

    def is_idle(self):
        """Return whether no work is waiting or in flight."""
        return not any(
            slots.n_in_flight or slots.queue.n_open or slots.waiting_users
            for slots in self._slots.values()
        )

    def has_excess_calls(self, now):
        """Return whether more calls are in flight than this node's shares allow."""
        return any(self._exceeds_share(slots, now) for slots in self._slots.values())

    def describe(self, now):
        """Return an `UpstreamStatus` for each upstream that had work at this node."""
        return tuple(slots.describe(now) for slots in self._slots.values())

    def get_slot_refusal(self, upstream, remaining_s, now):
        """Return why no slot would be free in time, or an empty string if one may."""
        slots = self._get_slots(upstream, now)
        reason = self._get_refusal(slots)
        if reason:
            return reason
        allowance, reason = self._get_allowance(slots, now)
        if reason:
            return reason
        n_ahead = len(slots.waiting_users) * slots.ramp.n_legs_per_call
        return "overload" if slots.is_too_late(n_ahead, remaining_s, allowance) else ""

    def has_free_slot(self, upstream, now):
        """Return whether `reserve_slot` would grant a slot immediately."""
        slots = self._get_slots(upstream, now)
        if self._get_refusal(slots) or slots.waiting_users:
            return False
        allowance, _ = self._get_allowance(slots, now)
        return slots.n_in_flight < allowance

    def reserve_slot(self, upstream, user, now):
        """Reserve a slot for a `SlotUser`; return effects.

        If none is free, the user waits for one and is served before any leg.
        """
        effects = self._apply_documents(now)
        slots = self._get_slots(upstream, now)
        refusal = self._get_refusal(slots)
        allowance, reason = (0, refusal) if refusal else self._get_allowance(slots, now)
        if not allowance:
            return effects + user.handle_slot_refused(reason, now)
        slots.waiting_users.append(user)
        self._send_waiting(slots, allowance, OutcomeCollector(), effects, now)
        return effects

    def cancel_reservation(self, upstream, user):
        """Remove a `SlotUser` that waits for a slot."""
        slots = self._slots.get(upstream)
        if slots is not None and user in slots.waiting_users:
            slots.waiting_users.remove(user)

    def release_slot(self, upstream, event, started_at, now):
        """Release a granted slot at the user's `OrderEnded`; return effects."""
        slots = self._slots[upstream]
        slots.n_in_flight -= 1
        slots.update_ramp({event.status}, event, started_at, 1, now)
        effects = self._apply_documents(now)
        collector = OutcomeCollector()
        self._dispatch(slots, collector, effects, now)
        return effects + collector.build_effects()

    def _apply_documents(self, now):
        documents = self._documents
        if (
            documents.declarations is self._declarations
            and documents.drains is self._drains
        ):
            return []
        return self.handle_documents_changed(now)

    def _get_slots(self, name, now):
        """Return the `UpstreamSlots` of a declared upstream, or None."""
        slots = self._slots.get(name)
        if slots is not None:
            return slots
        upstream = self._declarations.upstreams.get(name)
        if upstream is None:
            return None
        limit = self._declarations.limits[upstream.limit]
        group = self._declarations.group_by_upstream[name]
        slots = UpstreamSlots(upstream, limit, group, now)
        slots.refusal = "drained" if self._drains.covers(upstream) else ""
        self._slots[name] = slots
        return slots

    def _update_declaration(self, slots, now):
        upstream = self._declarations.upstreams.get(slots.upstream.name)
        if upstream is None:
            slots.refusal = "unknown upstream"
            return
        limit = self._declarations.limits[upstream.limit]
        group = self._declarations.group_by_upstream[upstream.name]
        slots.update_declaration(upstream, limit, group, now)
        is_drained = self._drains.covers(upstream)
        if is_drained and not slots.refusal:
            # What is known of it may be out of date after the drain, so it ramps up
            # again from its cold limit.
            slots.ramp.turn_cold(now)
        slots.refusal = "drained" if is_drained else ""

    def _get_refusal(self, slots):
        if slots is None:
            return "unknown upstream"
        if self._is_leaving:
            return "leaving"
        return slots.refusal

    def _get_allowance(self, slots, now, shares=None):
        """Return how many calls may run now, and the reason if none may.

        ``shares`` caches the shares by group while one event is handled.
        """
        share = self._get_share(slots.group, now, {} if shares is None else shares)
        if share is None:
            return 0, "not owner"
        n_slots = slots.ramp.count_slots(now)
        if n_slots == 0:
            return 0, "backing off"
        allowance = share.limit(n_slots)
        return allowance, "" if allowance > 0 else "no share"

    def _exceeds_share(self, slots, now):
        if slots.n_in_flight == 0:
            return False
        share = self._members.share_of(slots.group, now)
        return slots.n_in_flight > share.limit(slots.limit.n_slots)

    def _get_share(self, group, now, shares):
        if group.name not in shares:
            is_owner = self._members.owner_of(group, now) == self._node_name
            share = self._members.share_of(group, now) if is_owner else None
            shares[group.name] = share
        return shares[group.name]

    def _queue_legs(self, source, batch, collector, effects, now):
        """Queue the legs of a batch.

        Returns
        -------
        list of QueuedLeg
            Legs that were queued.
        dict
            How many calls may run at each of their upstreams, by `UpstreamSlots`.
        """
        remaining_ms = min(batch.remaining_ms, MAX_REMAINING_MS)
        deadline = now + remaining_ms / 1000
        priority = clamp_priority(batch.priority)
        key = (source, batch.request_id)
        open_legs = self._open_legs.setdefault(key, {})
        legs = []
        allowances = {}
        shares = {}
        for spec in batch.legs:
            if spec.leg_id in open_legs:
                effects.append(Count("legs_dropped", "duplicate"))
                continue
            slots = self._get_slots(spec.upstream, now)
            reason = self._get_refusal(slots)
            # Not written as <= 0, so that NaN counts as expired too.
            if not reason and not remaining_ms > 0:
                reason = "deadline"
            if not reason and slots not in allowances:
                allowance, reason = self._get_allowance(slots, now, shares)
                if not reason:
                    allowances[slots] = allowance
            if not reason:
                allowance = allowances[slots]
                reason = self._make_room(
                    slots, priority, deadline, allowance, collector, now
                )
            if reason:
                collector.add_refusal(source, batch.request_id, spec, reason)
                continue
            leg = QueuedLeg(source, batch, spec, priority, deadline, now, open_legs)
            slots.queue.push(leg)
            open_legs[spec.leg_id] = leg
            legs.append(leg)
        # Shedding may have closed the only open legs of this query meanwhile.
        if open_legs:
            self._open_legs[key] = open_legs
        else:
            self._open_legs.pop(key, None)
        return legs, allowances

    def _make_room(self, slots, priority, deadline, allowance, collector, now):
        """Shed legs if needed; return why a new leg cannot be queued, or nothing."""
        queue = slots.queue
        if queue.n_open == 0 and slots.n_in_flight < allowance:
            return ""
        n_ahead = queue.count_ahead(priority)
        if slots.is_too_late(n_ahead, deadline - now, allowance):
            return "overload"
        self._shed_lower_classes(slots, priority, allowance, collector, now)
        if queue.n_open >= MAX_QUEUED_LEGS:
            shed_leg = queue.pop_below(priority)
            if shed_leg is None:
                return "overload"
            self._refuse_leg(shed_leg, "overload", collector)
        return ""

    def _shed_lower_classes(self, slots, priority, allowance, collector, now):
        """Refuse legs of lower classes that a new leg would make too late."""
        while (leg := slots.queue.peek_below(priority)) is not None:
            remaining_s = leg.deadline - now
            if not slots.is_too_late(slots.queue.n_open, remaining_s, allowance):
                return
            slots.queue.pop_below(priority)
            self._refuse_leg(leg, "overload", collector)

    def _dispatch(self, slots, collector, effects, now):
        """Send the waiting work of an upstream, or refuse it if none may be sent."""
        if not slots.queue.n_open and not slots.waiting_users:
            return
        reason = self._get_refusal(slots)
        allowance = 0
        if not reason:
            allowance, reason = self._get_allowance(slots, now)
        if reason:
            self._refuse_waiting(slots, reason, collector, effects, now)
            return
        self._send_waiting(slots, allowance, collector, effects, now)

    def _send_waiting(self, slots, allowance, collector, effects, now):
        while slots.waiting_users and slots.n_in_flight < allowance:
            slots.n_in_flight += 1
            effects += slots.waiting_users.popleft().handle_slot_granted(now)
        while slots.queue.n_open and slots.n_in_flight < allowance:
            legs = self._pop_legs(slots, collector, now)
            if legs:
                effects += self._start_call(slots, legs, now)

    def _pop_legs(self, slots, collector, now):
        legs = []
        n_legs = slots.ramp.n_legs_per_call
        missed_deadline = slots.get_missed_deadline(now)
        while len(legs) < n_legs:
            leg = slots.queue.pop()
            if leg is None:
                break
            if leg.deadline <= missed_deadline:
                reason = "deadline" if now >= leg.deadline else "overload"
                self._refuse_leg(leg, reason, collector)
            else:
                legs.append(leg)
        return legs

    def _start_call(self, slots, legs, now):
        call = UpstreamCall(next(self._call_ids), slots, legs, self._max_call_ms, now)
        for leg in legs:
            leg.call = call
        self._calls[call.call_id] = call
        slots.n_in_flight += 1
        return call.build_effects()

    def _report_outcomes(self, call, matched, collector, effects):
        """Report the legs of an ended call that were not reported before."""
        n_late = 0
        for leg, outcome in zip(call.legs, matched, strict=True):
            if not leg.is_open:
                n_late += 1
                continue
            self._close_leg(leg)
            collector.add(
                leg,
                LegOutcome(
                    leg.spec.leg_id,
                    outcome.shard,
                    outcome.status,
                    outcome.version,
                    outcome.hits,
                    outcome.reason,
                    outcome.service_ms,
                ),
            )
        if n_late:
            effects.append(Count("outcomes_dropped", "late", n_late))

    def _refuse_waiting(self, slots, reason, collector, effects, now):
        while slots.waiting_users:
            effects += slots.waiting_users.popleft().handle_slot_refused(reason, now)
        for leg in slots.queue.pop_all():
            self._refuse_leg(leg, reason, collector)

    def _refuse_leg(self, leg, reason, collector):
        """Report a leg that was removed from its queue as not sent."""
        self._close_leg(leg, is_queued=False)
        collector.add_refusal(leg.source, leg.batch.request_id, leg.spec, reason)

    def _end_legs(self, legs, reason):
        """End legs without an outcome of their upstream; return effects.

        Queued legs are reported as not sent, legs in flight as unknown.
        """
        effects = []
        collector = OutcomeCollector()
        for leg in legs:
            self._close_leg(leg)
            if leg.call is None:
                collector.add_refusal(
                    leg.source, leg.batch.request_id, leg.spec, reason
                )
                continue
            spec = leg.spec
            unknown = LegOutcome(
                spec.leg_id, spec.shard, LegStatus.UNKNOWN, reason=reason
            )
            collector.add(leg, unknown)
            effects += self._cancel_if_unneeded(leg.call)
        return effects + collector.build_effects()

    def _close_leg(self, leg, is_queued=True):
        leg.is_open = False
        del leg.siblings[leg.spec.leg_id]
        if not leg.siblings:
            self._open_legs.pop((leg.source, leg.batch.request_id), None)
        if leg.call is not None:
            leg.call.n_open -= 1
        elif is_queued:
            self._slots[leg.spec.upstream].queue.mark_closed(leg)

    def _cancel_if_unneeded(self, call):
        if call is None or call.n_open or call.is_cancelled:
            return []
        call.is_cancelled = True
        return [CancelCall(call.call_id)]
