"""Searches that an aggregator runs for this node, from offer to answer.

An aggregator accepts a search before it sends any leg. Until the acceptance is seen,
the search may be taken back and served here; afterwards it is served there only, which
is confirmed. An acceptance may be lost or late, so that both serve a search for a
moment: an aggregator without the confirmation asks one upstream of a shard and leaves
the rest of those that the route allows to the other node.
"""

from heatherpick._serving import effects as fx

__all__ = ["HandOvers"]

#: Time for an aggregator to accept, as a share of the objective, and the most of it in
#: seconds. Both ends are a few milliseconds apart, unless one stands still.
ACCEPT_SHARE = 0.2
MAX_ACCEPT_S = 0.03
#: Upstreams that a shard must be allowed for its search to be handed over: one for an
#: aggregator that says nothing but has begun, and one for this node.
LEAST_UPSTREAMS = 2


class HandOvers:
    """Offers searches to aggregators and takes back what they do not accept.

    Parameters
    ----------
    aggregators : Aggregators
        Chooses whom to offer a search.
    serve_here : callable
        ``serve_here(query, now, effects)`` serves a search that nobody accepted.
    end : callable
        ``end(query, status, outcome, now, effects)`` ends a search and reports it.
    refuse : callable
        ``refuse(query, status, reason, now, effects)`` refuses a search.
    """

    def __init__(self, aggregators, serve_here, end, refuse):
        self._aggregators = aggregators
        self._serve_here = serve_here
        self._end = end
        self._refuse = refuse

    def offer(self, query, now, effects):
        """Offer a search to an aggregator; return whether there is one."""
        if query.route.n_upstreams < LEAST_UPSTREAMS:
            return False
        address = self._aggregators.choose(now)
        if address is None:
            return False
        query.aggregator = address
        wait_s = min(MAX_ACCEPT_S, ACCEPT_SHARE * query.route.objective_ms / 1000.0)
        query.accept_by = min(query.ends, now + wait_s)
        left_ms = int((query.ends - now) * 1000.0)
        effects.append(fx.HandOver(query, address, left_ms))
        effects.append(fx.Wake(query, query.accept_by))
        return True

    def take_acceptance(self, event, now, effects):
        """Wait for the answer of an aggregator that has begun the search."""
        query = event.query
        if not query.has_ended:
            query.accept_by = None
            effects.append(fx.Confirm(query))
            effects.append(fx.Wake(query, query.ends))

    def take_answer(self, event, now, effects):
        """Hand an aggregator's answer on, or serve a search that it declined."""
        query = event.query
        if query.has_ended:
            return
        if event.is_declined:
            self._aggregators.note_decline(query.aggregator, now)
            self._take_back(query, now, effects)
            return
        self._end(query, event.answer.status, "handed over", now, effects)
        effects.append(fx.Forward(query.exchange, event.answer))

    def take_failure(self, event, now, effects):
        """Serve a search whose aggregator is lost, unless its legs may have run."""
        query = event.query
        if query.has_ended:
            return
        self._aggregators.note_silence(query.aggregator, now)
        effects.append(
            fx.Report(
                "aggregator lost",
                {
                    "request": query.request_id,
                    "aggregator": query.aggregator,
                    "accepted": query.is_accepted,
                    "reason": event.reason,
                },
            )
        )
        if query.is_accepted:
            self._refuse(query, 502, "aggregator lost", now, effects)
        else:
            query.was_silent = True
            self._take_back(query, now, effects)

    def advance(self, query, now, effects):
        """Take back a search that was not accepted, give up one out of time."""
        if query.is_accepted:
            effects.append(fx.TakeBack(query))
            self._refuse(query, 504, "no answer in time", now, effects)
            return
        self._aggregators.note_silence(query.aggregator, now)
        query.was_silent = True
        effects.append(fx.TakeBack(query))
        self._take_back(query, now, effects)

    def _take_back(self, query, now, effects):
        query.aggregator = None
        query.accept_by = None
        self._serve_here(query, now, effects)
