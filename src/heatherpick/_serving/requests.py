"""The reducer of the serving path: events of requests in, effects out."""

from heatherpick._serving import effects as fx
from heatherpick._serving import events as ev
from heatherpick._serving.aggregators import Aggregators
from heatherpick._serving.cold import ColdGate
from heatherpick._serving.ends import Ends
from heatherpick._serving.extras import ExtraLegs
from heatherpick._serving.handovers import HandOvers
from heatherpick._serving.legs import Legs
from heatherpick._serving.pace import LookupPace, RoutePace, SearchPace
from heatherpick._serving.queries import Query
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
#: Most that is held back for merging and writing, as a share of the objective.
MAX_ANSWER_COST_SHARE = 0.15
#: Statuses by which a caller may conclude that its request has not run.
PROMISES = frozenset({408, 421, 429, 503})
#: When a caller may come back to a node that does not know the routes yet, in seconds.
UNKNOWN_RETRY_S = 0.25
#: Searches of other nodes that an aggregator runs at once. More would share its link
#: until they are no quicker than on a narrow one.
MAX_FOR_PEERS = 8
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
        self._legs = Legs(directory, self._extras, self._cold, rng)
        self._ends = Ends(directory, reach)
        self._aggregators = Aggregators(own)
        self._hand_overs = HandOvers(
            self._aggregators, self._serve, self._ends.end_elsewhere, self._ends.refuse
        )
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
            ev.AnswerWritten: self._ends.learn_answer_cost,
            ev.HandOverAccepted: self._hand_overs.take_acceptance,
            ev.HandOverConfirmed: self._confirm,
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
            self._ends.n_for_peers += 1
            effects.append(fx.Accept(event.exchange))
        elif route.is_gather and self._hand_overs.offer(query, now, effects):
            return
        self._serve(query, now, effects)

    def _may_aggregate(self, event, effects):
        """Return whether to run a search for another node; decline it otherwise."""
        version = None if self._snapshot is None else self._snapshot.version
        if version != event.peer_version:
            reason = f"routes of version {version}, not {event.peer_version}"
        elif self._ends.n_for_peers >= MAX_FOR_PEERS:
            reason = f"{self._ends.n_for_peers} searches of other nodes are running"
        else:
            return True
        effects.append(fx.Decline(event.exchange, reason))
        return False

    def _confirm(self, event, now, effects):
        """Ask as many upstreams as the route allows from now on."""
        query = event.query
        query.is_confirmed = True
        if not query.has_ended:
            self._legs.wake(query, now, effects)

    def _serve(self, query, now, effects):
        """Send the first legs of a request."""
        route_pace = self._find_pace(query.route)
        if query.route.is_gather:
            query.pace = SearchPace(route_pace, len(query.shards))
        else:
            query.pace = LookupPace(route_pace)
        for shard in query.shards:
            self._extras.earn(shard.service, now)
            if not self._legs.send(query, shard, now, effects):
                self._legs.postpone(query, shard, now)
        self._ends.settle(query, now, effects)
        if not query.has_ended:
            self._legs.wake(query, now, effects)

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
            left_out_ms += min(self._ends.answer_cost_ms, most_ms)
        settles = query.arrived + (route.objective_ms - left_out_ms) / 1000.0
        query.settles = min(settles, query.ends)

    # Answers of upstreams

    def _take_answer(self, event, now, effects):
        leg = event.leg
        upstream = leg.upstream
        if upstream.is_remote:
            self._reach.note_contact(now)
        if event.load is not None:
            upstream.learn_load(*event.load, now)
        if not self._legs.close(leg):
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
            self._legs.note_failure(leg, f"status {event.status} without proof", now)
            self._legs.retry(leg.query, leg.shard, now, effects)
        elif 400 <= event.status < 500:
            # The request itself is at fault, so no other upstream would take it.
            upstream.trust()
            leg.shard.failure = event.answer
            leg.query.give_up(leg.shard)
        else:
            self._legs.note_failure(leg, f"status {event.status}", now)
            if event.signature:
                leg.shard.failure = event.answer
            self._legs.retry(leg.query, leg.shard, now, effects)
        self._ends.settle(leg.query, now, effects)

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
        self._legs.retry(leg.query, leg.shard, now, effects)
        self._ends.settle(leg.query, now, effects)

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
            self._ends.end(query, now, effects)
            effects.append(fx.Forward(query.exchange, event.answer))
            effects.append(self._ends.report(query, event.status, "forwarded", now))
            return
        self._ends.settle(query, now, effects)
        if is_pace_news and not query.has_ended:
            self._legs.wake(query, now, effects)

    def _take_failure(self, event, now, effects):
        leg = event.leg
        if not self._legs.close(leg):
            return
        self._legs.note_failure(leg, event.reason, now)
        if not event.was_sent:
            leg.shard.n_arrived -= 1
            leg.shard.ran_on.discard(leg.upstream.entry.id)
            leg.shard.passed_over.add(leg.upstream.entry.id)
        self._legs.retry(leg.query, leg.shard, now, effects)
        self._ends.settle(leg.query, now, effects)

    def _hold(self, event, now, effects):
        leg = event.leg
        leg.shard.ran_on.discard(leg.upstream.entry.id)

    def _note_left(self, event, now, effects):
        leg = event.leg
        leg.shard.ran_on.add(leg.upstream.entry.id)

    # Time

    def _advance(self, event, now, effects):
        query = event.query
        if query.has_ended:
            return
        if query.aggregator is not None:
            self._hand_overs.advance(query, now, effects)
            return
        if now >= query.ends:
            self._ends.give_up(query, now, effects)
            return
        for shard in query.shards:
            if not shard.is_open:
                continue
            if shard.retry_at is not None and now >= shard.retry_at:
                shard.retry_at = None
                self._legs.retry(query, shard, now, effects)
            elif shard.legs:
                self._legs.hedge(query, shard, now, effects)
        self._ends.settle(query, now, effects)
        if not query.has_ended:
            self._legs.wake(query, now, effects)

    # Callers that leave

    def _leave(self, event, now, effects):
        query = event.query
        if query.has_ended:
            return
        if query.aggregator is not None:
            effects.append(fx.TakeBack(query))
        if query.route.repeatable:
            self._ends.end(query, now, effects)
        else:
            # An order that is already at an upstream is better finished than cut.
            query.has_ended = True
        effects.append(self._ends.report(query, 0, "caller left", now))

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
