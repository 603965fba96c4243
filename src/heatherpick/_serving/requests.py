"""The reducer of the serving path: events of requests in, effects out."""

from heatherpick._serving import effects as fx
from heatherpick._serving import events as ev
from heatherpick._serving.aggregators import Aggregators
from heatherpick._serving.cold import ColdGate
from heatherpick._serving.extras import ExtraLegs
from heatherpick._serving.handovers import HandOvers
from heatherpick._serving.merging import merge_parts
from heatherpick._serving.pace import LookupPace, RoutePace, SearchPace
from heatherpick._serving.queries import Leg, Query
from heatherpick._serving.splits import Split

__all__ = ["RequestReducer"]

#: Share of a route's objective that is left for the way to the caller and back where
#: it is not known, and the most of it in milliseconds.
WAY_SHARE = 0.1
MAX_WAY_MS = 12.0
#: What is left for a way that is known: the way itself, a number of milliseconds for
#: sending the answer, and a share of the objective at most.
SENDING_MS = 2.5
MAX_KNOWN_WAY_SHARE = 0.25
#: Time before a caller's patience ends at which it gets its final answer, in
#: milliseconds.
END_MARGIN_MS = 8.0
#: Shortest time that a leg is sent for, in milliseconds.
LEAST_LEG_MS = 2.0
#: Time that a hedge is given before its search settles, in ages of a late leg.
LAST_CHANCE_LATE = 2.5
#: Weight with which the time to merge and write an answer is forgotten.
ANSWER_COST_DECAY = 0.05
#: Most that is held back for merging and writing, as a share of the objective.
MAX_ANSWER_COST_SHARE = 0.15
#: Pause before a shard that refused is asked again, in seconds, and the most of it as a
#: share of the objective.
REFUSAL_PAUSE_S = 0.02
REFUSAL_PAUSE_SHARE = 0.08
#: Relative cost up to which equal upstreams differ by chance, so that nodes with the
#: same view do not move together.
TIE_BREAK = 0.05
#: Relative cost of an upstream that has just refused the same shard.
PASSED_OVER_COST = 10.0
#: Pause before a hedge is tried again that the budget or the upstreams did not allow,
#: in seconds.
HEDGE_PAUSE_S = 0.01
#: Share of the objective after which a shard that no upstream has taken is given up,
#: so that its caller hears of it in time to come back.
UNTRIED_SHARE = 0.2
#: Most legs of one shard, those that provably did not run among them.
MAX_SENDS = 5
#: Share of a route's objective after which a refused caller may come back, and the
#: bounds of that time in seconds.
RETRY_AFTER_SHARE = 0.25
LEAST_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
#: Statuses by which a caller may conclude that its request has not run.
PROMISES = frozenset({408, 421, 429, 503})
#: When a caller may come back to a node that does not know the routes yet, in seconds.
UNKNOWN_RETRY_S = 0.25
#: Searches of other nodes that an aggregator runs at once. More would share its link
#: until they are no quicker than on a narrow one.
MAX_FOR_PEERS = 8
#: Shards without an answer that a line of the log describes.
MAX_MISSING_LOGGED = 5
#: Characters of a path that a line of the log shows.
MAX_PATH_LOGGED = 100


class RequestReducer:
    """Serve requests by legs that this node sends itself.

    Parameters
    ----------
    directory : Directory
        The upstreams.
    extra_share : float
        Legs beyond the first that the fleet may send to a service, for each request.
    extra_slack : float
        Legs beyond the first that the fleet may send to a service on top, in a window
        of 10 s.
    own : str
        This node's address among its peers.
    reach : Reach
        Learns what tells whether this node is cut off.
    rng : random.Random
        Breaks ties and spreads nodes over the rounds of splits.
    """

    def __init__(self, directory, extra_share, extra_slack, own, reach, rng):
        self._directory = directory
        self._rng = rng
        self._snapshot = None
        self._extras = ExtraLegs(extra_share, extra_slack)
        self._cold = ColdGate(own)
        self._reach = reach
        self._aggregators = Aggregators(own)
        self._hand_overs = HandOvers(
            self._aggregators, self._serve, self._end_elsewhere, self._refuse
        )
        self._n_for_peers = 0
        self._answer_cost_ms = 0.0
        self._paces = {}
        self._splits = {}
        self._handlers = {
            ev.RequestArrived: self._arrive,
            ev.LegAnswered: self._take_answer,
            ev.LegFailed: self._take_failure,
            ev.LegHeld: self._hold,
            ev.LegLeft: self._note_left,
            ev.CallerLeft: self._leave,
            ev.QueryDue: self._advance,
            ev.AnswerWritten: self._learn_answer_cost,
            ev.HandOverAccepted: self._hand_overs.take_acceptance,
            ev.HandOverAnswered: self._hand_overs.take_answer,
            ev.HandOverFailed: self._hand_overs.take_failure,
        }

    @property
    def snapshot(self):
        """The snapshot that new requests are served by; None before the first."""
        return self._snapshot

    def allow_extra(self, extra_share, extra_slack):
        """Bound the legs beyond the first from now on."""
        self._extras.allow(extra_share, extra_slack)

    def know_nodes(self, nodes):
        """Take this node's part of what the fleet does, among these `NodeEntry`."""
        self._aggregators.set_nodes(nodes)
        if nodes:
            part = self._aggregators.compute_extras_part(len(nodes))
            self._extras.take_part(part)
        self._cold.set_nodes([node.address for node in nodes])

    def adopt(self, snapshot):
        """Serve new requests by a newer snapshot.

        Returns
        -------
        bool
            Whether the snapshot is newer than the present one.
        """
        if self._snapshot is not None and snapshot.version <= self._snapshot.version:
            return False
        self._snapshot = snapshot
        kept = {
            route.name
            for routes in snapshot.routes.values()
            for route in routes.values()
        }
        for table in (self._paces, self._splits):
            for name in [name for name in table if name not in kept]:
                del table[name]
        return True

    def reduce(self, event, now):
        """Take one event into account.

        Parameters
        ----------
        event : object
            One of `heatherpick._serving.events`.
        now : float
            Time in seconds; never before that of an earlier event.

        Returns
        -------
        list
            Effects, in the order in which to carry them out.
        """
        effects = []
        self._handlers[type(event)](event, now, effects)
        return effects

    # Arrival

    def _arrive(self, event, now, effects):
        is_for_peer = event.peer_version is not None
        if is_for_peer and not self._may_aggregate(event, effects):
            return
        route = self._find_route(event, effects)
        if route is None:
            return
        services = route.services
        if not route.is_gather and len(services) > 1:
            services = (self._choose_part(route),)
        query = Query(
            event.exchange,
            event.request_id,
            route,
            self._snapshot,
            services,
            now - event.age_ms / 1000.0,
        )
        self._set_times(query, event)
        if is_for_peer:
            query.is_for_peer = True
            self._n_for_peers += 1
            effects.append(fx.Accept(event.exchange))
        elif route.is_gather and self._hand_overs.offer(query, now, effects):
            return
        self._serve(query, now, effects)

    def _may_aggregate(self, event, effects):
        """Return whether to run a search for another node; decline it otherwise."""
        version = None if self._snapshot is None else self._snapshot.version
        if version != event.peer_version:
            reason = f"routes of version {version}, not {event.peer_version}"
        elif self._n_for_peers >= MAX_FOR_PEERS:
            reason = f"{self._n_for_peers} searches of other nodes are running"
        else:
            return True
        effects.append(fx.Decline(event.exchange, reason))
        return False

    def _serve(self, query, now, effects):
        """Send the first legs of a request."""
        route_pace = self._find_pace(query.route)
        if query.route.is_gather:
            query.pace = SearchPace(route_pace, len(query.shards))
        else:
            query.pace = LookupPace(route_pace)
        for shard in query.shards:
            self._extras.earn(shard.service, now)
            if not self._send(query, shard, now, effects):
                self._postpone(query, shard, now)
        self._settle(query, now, effects)
        if not query.has_ended:
            self._wake(query, now, effects)

    def _find_route(self, event, effects):
        if self._snapshot is None:
            reason, status, retry_after_s = "no routes known yet", 503, UNKNOWN_RETRY_S
        else:
            route = self._snapshot.find_route(event.host, event.path)
            if route is not None and event.request_id:
                return route
            reason, status, retry_after_s = "no such route", 404, None
            if route is not None:
                reason, status = "no request id", 400
        effects.append(fx.Refuse(event.exchange, status, retry_after_s, reason))
        fields = {
            "request": event.request_id,
            "host": event.host,
            "path": event.path[:MAX_PATH_LOGGED],
            "version": None if self._snapshot is None else self._snapshot.version,
            "status": status,
            "outcome": reason,
        }
        effects.append(fx.Report("request refused", fields))
        return None

    def _choose_part(self, route):
        split = self._splits.get(route.name)
        if split is None or split[0] != (route.services, route.weights):
            offset = self._rng.random()
            split = (
                (route.services, route.weights),
                Split(route.services, route.weights, offset),
            )
            self._splits[route.name] = split
        return split[1].choose()

    def _set_times(self, query, event):
        route = query.route
        limit_ms = route.timeout_ms
        if event.patience_ms is not None:
            limit_ms = min(limit_ms, event.age_ms + event.patience_ms)
        query.ends = query.arrived + max(0.0, limit_ms - END_MARGIN_MS) / 1000.0
        query.way_ms = _compute_way(route, event.way_ms)
        left_out_ms = query.way_ms
        if route.is_gather:
            most_ms = MAX_ANSWER_COST_SHARE * route.objective_ms
            left_out_ms += min(self._answer_cost_ms, most_ms)
        settles = query.arrived + (route.objective_ms - left_out_ms) / 1000.0
        query.settles = min(settles, query.ends)

    # Legs

    def _send(self, query, shard, now, effects):
        """Send a leg of a shard; return whether there was an upstream to ask."""
        left_ms = (query.ends - now) * 1000.0
        if left_ms < LEAST_LEG_MS or shard.n_sent >= MAX_SENDS:
            return False
        upstream = self._choose_upstream(query, shard, now)
        if upstream is None or not self._bears(query, upstream, now):
            return False
        # What never arrived anywhere was no load, so what replaces it is none too many.
        if shard.n_arrived and not self._extras.spend(shard.service, now):
            return False
        leg = Leg(query, shard, upstream, now)
        shard.legs.append(leg)
        shard.n_sent += 1
        shard.n_arrived += 1
        shard.ran_on.add(upstream.entry.id)
        shard.retry_at = None
        upstream.n_open += 1
        effects.append(fx.SendLeg(leg, int(left_ms)))
        return True

    def _choose_upstream(self, query, shard, now):
        asked = shard.list_asked()
        if len(asked) >= query.route.n_upstreams:
            return None
        best = None
        best_cost = 0.0
        for upstream in self._directory.list_usable(shard.service):
            upstream_id = upstream.entry.id
            if upstream_id in asked:
                continue
            cost = upstream.rate(now) + TIE_BREAK * self._rng.random()
            if upstream_id in shard.passed_over:
                cost += PASSED_OVER_COST
            if best is None or cost < best_cost:
                best, best_cost = upstream, cost
        return best

    def _bears(self, query, upstream, now):
        """Return whether an upstream bears a request; one that is cold bears few."""
        if now >= upstream.cold_until:
            return True
        service = query.snapshot.services.get(upstream.entry.service)
        if service is None or service.cold_rate <= 0.0:
            return True
        return self._cold.admits(upstream.entry.id, service.cold_rate, now)

    def _take_answer(self, event, now, effects):
        leg = event.leg
        upstream = leg.upstream
        if upstream.is_remote:
            self._reach.note_contact(now)
        if event.load is not None:
            upstream.learn_load(*event.load, now)
        if not self._close(leg):
            return
        if event.is_proven_unexecuted:
            self._take_refusal(event, now, effects)
            return
        if 200 <= event.status < 300 and event.signature:
            self._take_success(event, now, effects)
            return
        if event.status in PROMISES:
            # Handed on, the status would promise that the request has not run, which
            # this upstream has not said.
            upstream.learn_outcome(True, now)
            upstream.avoid(now)
            leg.shard.note_trouble(upstream, f"status {event.status} without proof")
            self._retry(leg.query, leg.shard, now, effects)
        elif 400 <= event.status < 500:
            # The request itself is at fault, so no other upstream would take it.
            upstream.trust()
            leg.shard.failure = event.answer
            leg.query.give_up(leg.shard)
        else:
            upstream.learn_outcome(True, now)
            upstream.avoid(now)
            leg.shard.note_trouble(upstream, f"status {event.status}")
            if event.signature:
                leg.shard.failure = event.answer
            self._retry(leg.query, leg.shard, now, effects)
        self._settle(leg.query, now, effects)

    def _take_refusal(self, event, now, effects):
        leg = event.leg
        upstream_id = leg.upstream.entry.id
        leg.shard.ran_on.discard(upstream_id)
        leg.shard.passed_over.add(upstream_id)
        leg.shard.note_trouble(leg.upstream, f"not run, status {event.status}")
        if event.is_other_upstream:
            self._directory.discard(upstream_id)
        else:
            leg.upstream.avoid(now)
        self._retry(leg.query, leg.shard, now, effects)
        self._settle(leg.query, now, effects)

    def _take_success(self, event, now, effects):
        leg = event.leg
        query = leg.query
        shard = leg.shard
        pace = query.pace
        age_ms = leg.compute_age_ms(now)
        if age_ms < pace.late_ms:
            leg.upstream.trust()
        leg.upstream.learn_outcome(False, now)
        is_pace_news = pace.learn(leg.upstream, age_ms, now)
        for other in shard.legs:
            pace.learn_cut(other.upstream, other.compute_age_ms(now), now)
            other.upstream.n_open -= 1
            effects.append(fx.CancelLeg(other))
        shard.legs.clear()
        shard.body = event.body
        shard.signature = event.signature
        query.n_done += 1
        if not query.route.is_gather:
            self._end(query, now, effects)
            effects.append(fx.Forward(query.exchange, event.answer))
            effects.append(self._report(query, event.status, "forwarded", now))
            return
        self._settle(query, now, effects)
        if is_pace_news and not query.has_ended:
            self._wake(query, now, effects)

    def _take_failure(self, event, now, effects):
        leg = event.leg
        if not self._close(leg):
            return
        leg.upstream.learn_outcome(True, now)
        leg.upstream.avoid(now)
        leg.shard.note_trouble(leg.upstream, event.reason)
        if not event.was_sent:
            leg.shard.n_arrived -= 1
            leg.shard.ran_on.discard(leg.upstream.entry.id)
            leg.shard.passed_over.add(leg.upstream.entry.id)
        self._retry(leg.query, leg.shard, now, effects)
        self._settle(leg.query, now, effects)

    def _hold(self, event, now, effects):
        leg = event.leg
        leg.shard.ran_on.discard(leg.upstream.entry.id)

    def _note_left(self, event, now, effects):
        leg = event.leg
        leg.shard.ran_on.add(leg.upstream.entry.id)

    def _close(self, leg):
        """Take a leg off its shard; return whether anybody still waits for it."""
        if leg not in leg.shard.legs:
            return False
        leg.shard.legs.remove(leg)
        leg.upstream.n_open -= 1
        return not leg.query.has_ended

    def _retry(self, query, shard, now, effects):
        if shard.legs or not shard.is_open:
            return
        if shard.ran_on and not query.route.repeatable:
            query.give_up(shard)
            return
        if self._send(query, shard, now, effects):
            query.n_retries += 1
            return
        self._postpone(query, shard, now)
        if shard.retry_at is not None:
            self._wake(query, now, effects)

    def _postpone(self, query, shard, now):
        """Ask a shard again a little later, or give it up if nobody is left."""
        objective_s = query.route.objective_ms / 1000.0
        pause_s = min(REFUSAL_PAUSE_S, REFUSAL_PAUSE_SHARE * objective_s)
        is_too_late = (
            not query.route.is_gather
            and not shard.ran_on
            and now + pause_s > query.arrived + UNTRIED_SHARE * objective_s
        )
        may_ask_again = (
            not is_too_late
            and len(shard.ran_on) < query.route.n_upstreams
            and shard.n_sent < MAX_SENDS
            and self._directory.list_usable(shard.service)
        )
        if may_ask_again and now + pause_s < query.ends:
            shard.retry_at = now + pause_s
        else:
            query.give_up(shard)

    # Time

    def _advance(self, event, now, effects):
        query = event.query
        if query.has_ended:
            return
        if query.aggregator is not None:
            self._hand_overs.advance(query, now, effects)
            return
        if now >= query.ends:
            self._give_up(query, now, effects)
            return
        for shard in query.shards:
            if not shard.is_open:
                continue
            if shard.retry_at is not None and now >= shard.retry_at:
                shard.retry_at = None
                self._retry(query, shard, now, effects)
            elif shard.legs:
                self._hedge(query, shard, now, effects)
        self._settle(query, now, effects)
        if not query.has_ended:
            self._wake(query, now, effects)

    def _hedge(self, query, shard, now, effects):
        leg = shard.legs[-1]
        if leg.is_late or now < self._compute_late_at(query, leg):
            return
        is_early = now < self._compute_last_chance(query)
        if is_early and not self._extras.is_plentiful(shard.service, now):
            return
        if not query.route.repeatable:
            leg.is_late = True
            return
        if self._send(query, shard, now, effects):
            leg.is_late = True
            leg.upstream.avoid(now)
            query.n_hedges += 1
        elif len(shard.list_asked()) >= query.route.n_upstreams:
            leg.is_late = True

    def _compute_late_at(self, query, leg):
        return leg.sent_at + query.pace.late_ms / 1000.0

    def _compute_last_chance(self, query):
        """Return until when another upstream has just time enough to answer.

        Where extra legs are few, hedges wait for this, as most late legs end by
        themselves.
        """
        return query.settles - LAST_CHANCE_LATE * query.pace.late_ms / 1000.0

    def _wake(self, query, now, effects):
        at = query.ends
        if now < query.settles:
            at = query.settles
        for shard in query.shards:
            if not shard.is_open:
                continue
            if shard.retry_at is not None:
                at = min(at, shard.retry_at)
            elif shard.legs and not shard.legs[-1].is_late:
                leg = shard.legs[-1]
                hedge_at = self._compute_late_at(query, leg)
                if hedge_at <= now:
                    hedge_at = self._compute_last_chance(query)
                if hedge_at <= now:
                    hedge_at = now + HEDGE_PAUSE_S
                at = min(at, hedge_at)
        effects.append(fx.Wake(query, at))

    def _learn_answer_cost(self, event, now, effects):
        cost_ms = event.elapsed_ms
        if cost_ms < self._answer_cost_ms:
            kept = 1.0 - ANSWER_COST_DECAY
            cost_ms = kept * self._answer_cost_ms + ANSWER_COST_DECAY * cost_ms
        self._answer_cost_ms = cost_ms

    # Ends

    def _settle(self, query, now, effects):
        """Answer if nothing better can come, or if it would come too late."""
        if query.has_ended:
            return
        n_open = query.n_open
        if not query.route.is_gather:
            if not n_open:
                self._give_up(query, now, effects)
            return
        if not query.may_succeed:
            self._give_up(query, now, effects)
            return
        if n_open and now < query.settles:
            return
        if query.is_enough:
            self._answer(query, now, effects)

    def _answer(self, query, now, effects):
        self._end(query, now, effects)
        parts = [shard for shard in query.shards if shard.body is not None]
        body = merge_parts([shard.body for shard in parts], query.route.n_records)
        n_missing = len(query.shards) - len(parts)
        effects.append(
            fx.Merge(
                query.exchange, [shard.signature for shard in parts], n_missing, body
            )
        )
        effects.append(
            self._report(query, 200, "partial" if n_missing else "complete", now)
        )

    def _give_up(self, query, now, effects):
        if query.route.is_gather and query.is_enough:
            self._answer(query, now, effects)
            return
        failure = None if query.route.is_gather else query.shards[0].failure
        if failure is not None:
            self._end(query, now, effects)
            effects.append(fx.Forward(query.exchange, failure))
            effects.append(self._report(query, failure.status, "upstream failed", now))
            return
        status, reason = self._choose_refusal(query, now)
        self._refuse(query, status, reason, now, effects)

    def _refuse(self, query, status, reason, now, effects):
        self._end(query, now, effects)
        self._reach.note_refused()
        retry_after_s = _compute_retry_after(query.route)
        effects.append(fx.Refuse(query.exchange, status, retry_after_s, reason))
        effects.append(self._report(query, status, reason, now))

    def _end_elsewhere(self, query, status, outcome, now, effects):
        """End a search that an aggregator has answered."""
        self._end(query, now, effects)
        if status >= 500:
            self._reach.note_refused()
        effects.append(self._report(query, status, outcome, now))

    def _choose_refusal(self, query, now):
        if not query.may_have_run:
            return 503, "no upstream could take the request"
        if now >= query.ends:
            return 504, "no answer in time"
        return 502, "upstreams gave no answer"

    def _leave(self, event, now, effects):
        query = event.query
        if query.has_ended:
            return
        if query.aggregator is not None:
            effects.append(fx.TakeBack(query))
        if query.route.repeatable:
            self._end(query, now, effects)
        else:
            # An order that is already at an upstream is better finished than cut.
            query.has_ended = True
        effects.append(self._report(query, 0, "caller left", now))

    def _end(self, query, now, effects):
        query.has_ended = True
        self._n_for_peers -= query.is_for_peer
        for shard in query.shards:
            for leg in shard.legs:
                leg.upstream.n_open -= 1
                age_ms = leg.compute_age_ms(now)
                shard.note_trouble(leg.upstream, f"silent for {round(age_ms)} ms")
                if age_ms >= query.pace.late_ms:
                    query.pace.learn_cut(leg.upstream, age_ms, now)
                    leg.upstream.avoid(now)
                effects.append(fx.CancelLeg(leg))
            shard.legs.clear()

    def _report(self, query, status, outcome, now):
        fields = {
            "request": query.request_id,
            "route": query.route.name,
            "version": query.snapshot.version,
            "status": status,
            "outcome": outcome,
            "ms": round((now - query.arrived) * 1000.0, 1),
            "shards": len(query.shards),
            "answered": query.n_done,
            "hedges": query.n_hedges,
            "retries": query.n_retries,
        }
        if query.is_for_peer:
            fields["for_peer"] = True
        if query.aggregator is not None:
            fields["aggregator"] = query.aggregator
            return fx.Report("request ended", fields)
        missing = [shard for shard in query.shards if shard.body is None]
        if missing:
            fields["missing"] = [
                {
                    "service": shard.service,
                    "sent": shard.n_sent,
                    "asked": sorted(shard.list_asked()),
                    "trouble": shard.trouble,
                    "listed": len(self._directory.list_usable(shard.service)),
                }
                for shard in missing[:MAX_MISSING_LOGGED]
            ]
        return fx.Report("request ended", fields)

    # Parts of the state

    def _find_pace(self, route):
        pace = self._paces.get(route.name)
        if pace is None:
            pace = self._paces[route.name] = RoutePace(route.objective_ms)
        return pace


def _compute_way(route, way_ms):
    """Return what to leave of the objective for the way to the caller and back."""
    if way_ms is None:
        return min(MAX_WAY_MS, WAY_SHARE * route.objective_ms)
    return min(way_ms + SENDING_MS, MAX_KNOWN_WAY_SHARE * route.objective_ms)


def _compute_retry_after(route):
    """Return when a refused caller may come back, in seconds."""
    wanted_s = RETRY_AFTER_SHARE * route.objective_ms / 1000.0
    return min(MAX_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wanted_s))
