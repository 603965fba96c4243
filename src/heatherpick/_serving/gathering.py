"""Sends legs of a search in groups to nodes beside their upstreams."""

from heatherpick._serving import effects as fx
from heatherpick._serving.grouping import plan_groups
from heatherpick._serving.groups import (
    ANSWERED,
    CANCELLED,
    LATE,
    NOT_RUN,
    UNSENT,
    LegGroup,
)
from heatherpick._serving.pace import MAX_LATE_MEDIANS

__all__ = ["GroupCoordinator"]

#: Time for a group's request and answer to cross the border and be handled, in
#: milliseconds. Its legs are late that much later than legs that are sent directly.
BORDER_MS = 8.0
#: Share of the time until the soft deadline after which a group is due at the latest,
#: so that the legs of one that is lost can still be sent directly.
MAX_WAIT_SHARE = 0.7


class GroupCoordinator:
    """Groups the legs of searches, and handles what becomes of the groups.

    Parameters
    ----------
    dispatcher : LegDispatcher
        Chooses the upstreams, and retries the legs that a group did not answer.
    gatherers : Gatherers
        Chooses the nodes that gather.
    isolation : IsolationDetector
        Receives the contacts.
    """

    def __init__(self, dispatcher, gatherers, isolation):
        self._dispatcher = dispatcher
        self._gatherers = gatherers
        self._isolation = isolation

    def send_groups(self, query, route_latency, now, effects):
        """Send as many first legs of a search as is worthwhile in groups.

        The shards that are left without a leg are to be asked directly.
        """
        remaining_ms = (query.soft_deadline - now) * 1000.0
        wait_ms = MAX_LATE_MEDIANS * route_latency.median_ms + BORDER_MS
        if not query.route.is_gather or wait_ms > MAX_WAIT_SHARE * remaining_ms:
            return
        candidates = self._dispatcher.list_group_candidates(query, now)
        for data_centre, pairs in plan_groups(candidates).items():
            address = self._gatherers.choose(data_centre, now)
            if address is None:
                continue
            group = LegGroup(query, address, now + wait_ms / 1000.0)
            for shard, upstream in pairs:
                leg = self._dispatcher.add_leg(query, shard, upstream, now)
                leg.group = group
                group.legs.append(leg)
            query.groups.append(group)
            timeout_ms = int((query.deadline - now) * 1000.0)
            effects.append(fx.SendGroup(group, int(wait_ms - BORDER_MS), timeout_ms))

    def handle_answer(self, event, now, effects):
        """Take over the parts of a group, and retry its other legs.

        Returns
        -------
        bool
            Whether the search has to be looked at again.
        """
        group = event.group
        if not group.is_open:
            return False
        group.is_open = False
        query = group.query
        self._gatherers.record_answer(group.address)
        self._isolation.record_response(now)
        group.parts = event.body
        retries = []
        late_legs = []
        for leg, outcome in zip(group.legs, event.outcomes, strict=True):
            if outcome.load is not None:
                leg.upstream.record_load(*outcome.load, now)
            if outcome.result == LATE and leg in leg.shard.legs:
                late_legs.append(leg)
                continue
            is_awaited = self._dispatcher.remove(leg)
            if outcome.result == ANSWERED:
                self._record_part(leg, outcome, now, effects)
            elif is_awaited:
                self._record_loss(leg, outcome, now)
                retries.append(leg.shard)
        for shard in retries:
            self._dispatcher.retry(query, shard, now, effects)
        if late_legs:
            self._send_rest(group, late_legs, now, effects)
        return True

    def _send_rest(self, group, legs, now, effects):
        """Ask for late legs at the node that has them, and hedge them."""
        query = group.query
        wait_ms = (query.deadline - now) * 1000.0 - BORDER_MS
        rest = LegGroup(query, group.address, now, is_rest=True)
        rest.legs = legs
        for leg in legs:
            leg.group = rest
        query.groups.append(rest)
        effects.append(fx.SendGroup(rest, max(0, int(wait_ms)), max(0, int(wait_ms))))
        for leg in legs:
            if leg.shard.is_open:
                self._dispatcher.hedge_if_late(query, leg.shard, now, effects)

    def handle_failure(self, event, now, effects):
        """Retry the legs of a group that was declined, lost or never sent.

        Returns
        -------
        bool
            Whether the search has to be looked at again.
        """
        group = event.group
        if not group.is_open:
            return False
        group.is_open = False
        if event.is_declined:
            self._gatherers.record_decline(group.address, now)
        else:
            self._gatherers.record_failure(group.address, now)
        fields = {
            "request": group.query.request_id,
            "gatherer": group.address,
            "reason": event.reason,
        }
        effects.append(fx.Report("group of legs lost", fields))
        was_sent = event.was_sent and not event.is_declined
        retries = []
        for leg in group.legs:
            if not self._dispatcher.remove(leg):
                continue
            leg.shard.add_leg_error(leg.upstream, f"group: {event.reason}")
            if not was_sent:
                leg.shard.record_undelivered(leg.upstream)
            retries.append(leg.shard)
        for shard in retries:
            self._dispatcher.retry(group.query, shard, now, effects)
        return True

    def record_overdue(self, query, now):
        """Give no further group for a while to the nodes whose answers are overdue.

        The legs of an overdue group stay open, and are hedged like other late ones.
        """
        for group in query.groups:
            if group.is_open and not group.is_overdue and now >= group.due_at:
                group.is_overdue = True
                self._gatherers.record_failure(group.address, now)

    def _record_part(self, leg, outcome, now, effects):
        """Count the part of a leg, also if the shard was answered directly before."""
        query = leg.query
        shard = leg.shard
        leg.upstream.clear_avoidance()
        leg.upstream.record_outcome(False, now)
        query.latency.record_response(leg.upstream, outcome.elapsed_ms, now)
        if shard.signature is None:
            if shard.is_missing:
                # It was given up, but its records are among those of the group.
                shard.is_missing = False
                query.n_missing -= 1
            query.n_answered += 1
        for other in list(shard.legs):
            self._dispatcher.cancel(other, now, effects)
        shard.body = None
        shard.signature = outcome.signature
        shard.group = leg.group

    def _record_loss(self, leg, outcome, now):
        shard = leg.shard
        if outcome.result == UNSENT:
            shard.record_undelivered(leg.upstream)
            shard.add_leg_error(leg.upstream, "group: not sent")
        elif outcome.result == NOT_RUN:
            shard.may_have_run_on.discard(leg.upstream.entry.id)
            shard.not_run_on.add(leg.upstream.entry.id)
            leg.upstream.record_outcome(True, now)
            leg.upstream.avoid(now)
            shard.add_leg_error(leg.upstream, "not run, in a group")
        elif outcome.result == CANCELLED:
            leg.query.latency.record_cancelled(leg.upstream, outcome.elapsed_ms, now)
            leg.upstream.avoid(now)
            silent_ms = round(outcome.elapsed_ms)
            shard.add_leg_error(leg.upstream, f"silent for {silent_ms} ms, in a group")
        else:
            self._dispatcher.record_failure(leg, "failed in a group", now)
