"""HTTP client for upstreams; each call results in exactly one event."""

import secrets

import orjson

from heatherpick._core.effects import CallOrder, CallUpstream, CancelCall
from heatherpick._shell.exchanges import ExchangeFailure, ExchangePool
from heatherpick._shell.upstream_responses import (
    hash_query,
    parse_legs_response,
    parse_order_response,
)
from heatherpick.errors import InvalidArgument

__all__ = ["UpstreamClient", "draw_first_leg_id"]

MS_PER_S = 1000.0

#: Maximum calls started per reactor iteration, before it serves other connections.
MAX_STARTS_PER_TURN = 4
#: Bits of the id of a call's first leg; JSON integers are exact up to 53 bits.
N_LEG_ID_BITS = 52


def draw_first_leg_id():
    """Return a random, unpredictable id for the first leg of a call."""
    return secrets.randbits(N_LEG_ID_BITS)


class UpstreamClient:
    """Executes calls of legs and of orders.

    Parameters
    ----------
    feed : callable
        ``feed(event)`` passes an event to the reducer.
    reactor : IReactorTCP and IReactorTime
        Opens connections and provides timers.
    draw_first_leg_id : callable, optional
        Returns the id of the first leg of a call. It must be unpredictable, as only
        the ids reveal that a response belongs to another call.
    """

    def __init__(self, feed, reactor, draw_first_leg_id=draw_first_leg_id):
        self._feed = feed
        self._draw_first_leg_id = draw_first_leg_id
        self._clock = reactor
        self._leg_pool = ExchangePool(reactor)
        # A keep-alive connection may be closing when an order is written to it, which
        # would leave the outcome unknown. A new connection either accepts the order or
        # fails with proof that nothing was sent.
        self._order_pool = ExchangePool(reactor, persistent=False)
        self._exchanges = {}
        self._queued_calls = {}
        self._start_timer = None

    @property
    def effect_handlers(self):
        """Dict of effect type to the handler of that effect."""
        return {
            CallUpstream: self._queue_call,
            CallOrder: self._call_order,
            CancelCall: self._cancel_call,
        }

    def close(self):
        """Close the idle connections."""
        return self._leg_pool.close()

    def _queue_call(self, effect):
        self._queued_calls[effect.call_id] = effect
        if self._start_timer is None:
            self._start_timer = self._clock.callLater(0, self._start_calls)

    def _start_calls(self):
        # Starting all calls of a query takes milliseconds. Starting them in batches
        # lets the reactor send queued frames to other owners in between.
        self._start_timer = None
        for call_id in list(self._queued_calls)[:MAX_STARTS_PER_TURN]:
            effect = self._queued_calls.pop(call_id, None)
            if effect is not None:
                self._call_legs(effect)
        if self._queued_calls and self._start_timer is None:
            self._start_timer = self._clock.callLater(0, self._start_calls)

    def _call_legs(self, effect):
        started_s = self._clock.seconds()
        first_leg_id = self._draw_first_leg_id()

        def build_request(effect):
            return _build_legs_request(effect, first_leg_id)

        def handle_result(result):
            elapsed_ms = self._end_exchange(effect.call_id, started_s)
            self._feed(
                parse_legs_response(
                    effect.call_id, effect.legs, result, elapsed_ms, first_leg_id
                )
            )

        traceparent = effect.legs[0].traceparent if effect.legs else ""
        self._start_exchange(
            self._leg_pool, effect, build_request, traceparent, handle_result
        )

    def _call_order(self, effect):
        started_s = self._clock.seconds()

        def handle_result(result):
            elapsed_ms = self._end_exchange(effect.call_id, started_s)
            self._feed(
                parse_order_response(effect.call_id, effect.key, result, elapsed_ms)
            )

        self._start_exchange(
            self._order_pool,
            effect,
            _build_order_request,
            effect.traceparent,
            handle_result,
        )

    def _start_exchange(self, pool, effect, build_request, traceparent, handle_result):
        headers = {b"traceparent": traceparent.encode()} if traceparent else {}
        timeout_s = max(0.0, effect.timeout_ms) / MS_PER_S
        # The entry is added before the request, as a keep-alive connection may fail
        # synchronously, and the handler of the result removes the entry.
        self._exchanges[effect.call_id] = None
        try:
            path, body = build_request(effect)
            exchange = pool.request(
                b"POST", effect.address, path, headers, body, timeout_s, handle_result
            )
        except (InvalidArgument, orjson.JSONEncodeError):
            handle_result(ExchangeFailure(sent=False, reason="unusable call"))
            return
        if effect.call_id in self._exchanges:
            self._exchanges[effect.call_id] = exchange

    def _end_exchange(self, call_id, started_s):
        del self._exchanges[call_id]
        return (self._clock.seconds() - started_s) * MS_PER_S

    def _cancel_call(self, effect):
        queued = self._queued_calls.pop(effect.call_id, None)
        if queued is not None:
            failure = ExchangeFailure(sent=False, reason="cancelled")
            self._feed(parse_legs_response(queued.call_id, queued.legs, failure, 0.0))
            return
        exchange = self._exchanges.get(effect.call_id)
        if exchange is not None:
            exchange.cancel()


def _build_legs_request(effect, first_leg_id):
    legs = [
        {
            "id": first_leg_id + leg.index,
            "shard": leg.spec.shard,
            "version": leg.version,
            "query_hash": hash_query(leg.query),
            "query": orjson.Fragment(leg.query),
        }
        for leg in effect.legs
    ]
    content = {"deadline_ms": effect.timeout_ms, "legs": legs}
    return b"/v1/legs", orjson.dumps(content)


def _build_order_request(effect):
    content = {
        "key": effect.key,
        "order": orjson.Fragment(effect.body),
        "deadline_ms": effect.timeout_ms,
    }
    return b"/v1/orders", orjson.dumps(content)
