"""Hands searches over to aggregators, from the offer to the response.

An aggregator accepts a search before it sends any leg. Until this node receives the
acceptance, it may cancel the offer and serve the search itself. Afterwards only the
aggregator serves it, which this node confirms. An acceptance may be lost or late, so
that both nodes serve a search at the same time. An aggregator without a confirmation
therefore asks one upstream of each shard, and leaves the others that the route allows
to the other node.
"""

from heatherpick._serving import effects as fx

__all__ = ["HandOverCoordinator"]

#: Time for an aggregator to accept, as a share of the objective, and its maximum in
#: seconds. The nodes are a few milliseconds apart unless one of them is frozen.
ACCEPT_TIMEOUT_SHARE = 0.2
MAX_ACCEPT_TIMEOUT_S = 0.03
#: Upstreams that a shard must be allowed for its search to be handed over: one for an
#: aggregator that has begun although its acceptance was not received, and one for this
#: node.
MIN_UPSTREAMS = 2


class HandOverCoordinator:
    """Offers searches to aggregators, and serves here those that none accepts.

    Parameters
    ----------
    aggregators : Aggregators
        Chooses the aggregator that is offered a search.
    serve_locally : callable
        ``serve_locally(query, now, effects)`` serves a search on this node.
    finish : callable
        ``finish(query, status, outcome, now, effects)`` finishes an answered search.
    refuse : callable
        ``refuse(query, status, reason, now, effects)`` refuses a search.
    """

    def __init__(self, aggregators, serve_locally, finish, refuse):
        self._aggregators = aggregators
        self._serve_locally = serve_locally
        self._finish = finish
        self._refuse = refuse

    def offer(self, query, now, effects):
        """Offer a search to an aggregator; return whether one was available."""
        if query.route.max_upstreams < MIN_UPSTREAMS:
            return False
        address = self._aggregators.choose(now)
        if address is None:
            return False
        query.aggregator = address
        timeout_s = min(
            MAX_ACCEPT_TIMEOUT_S,
            ACCEPT_TIMEOUT_SHARE * query.route.objective_ms / 1000.0,
        )
        query.accept_deadline = min(query.deadline, now + timeout_s)
        remaining_ms = int((query.deadline - now) * 1000.0)
        effects.append(fx.HandOver(query, address, remaining_ms))
        effects.append(fx.SetTimer(query, query.accept_deadline))
        return True

    def handle_acceptance(self, event, now, effects):
        """Confirm an acceptance, and wait for the response until the deadline."""
        query = event.query
        if not query.is_finished:
            query.accept_deadline = None
            effects.append(fx.ConfirmHandOver(query))
            effects.append(fx.SetTimer(query, query.deadline))

    def handle_response(self, event, now, effects):
        """Forward an aggregator's response, or serve here a search that it declined."""
        query = event.query
        if query.is_finished:
            return
        if event.is_declined:
            self._aggregators.record_decline(query.aggregator, now)
            self._revert_to_local(query, now, effects)
            return
        self._finish(query, event.response.status, "handed over", now, effects)
        effects.append(fx.Forward(query.request, event.response))

    def handle_failure(self, event, now, effects):
        """Serve here a search whose aggregator failed, unless it was accepted."""
        query = event.query
        if query.is_finished:
            return
        self._aggregators.record_unresponsive(query.aggregator, now)
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
            query.had_unresponsive_aggregator = True
            self._revert_to_local(query, now, effects)

    def handle_timeout(self, query, now, effects):
        """Serve a search here if not accepted in time; refuse an unanswered one."""
        if query.is_accepted:
            effects.append(fx.CancelHandOver(query))
            self._refuse(query, 504, "no answer in time", now, effects)
            return
        self._aggregators.record_unresponsive(query.aggregator, now)
        query.had_unresponsive_aggregator = True
        effects.append(fx.CancelHandOver(query))
        self._revert_to_local(query, now, effects)

    def _revert_to_local(self, query, now, effects):
        query.aggregator = None
        query.accept_deadline = None
        self._serve_locally(query, now, effects)
