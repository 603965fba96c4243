"""Calls to upstreams over HTTP, each answered by exactly one event."""

import secrets

import orjson

from heatherpick._core.effects import CallOrder, CallUpstream, CancelCall
from heatherpick._shell.answers import (
    hash_query,
    read_legs_answer,
    read_order_answer,
)
from heatherpick._shell.exchanges import ExchangeFailure, ExchangePool
from heatherpick.errors import InvalidArgument

__all__ = ["Upstreams", "draw_id"]

MS_PER_S = 1000.0

#: Calls that are started before the reactor looks at its connections again.
N_STARTS = 4
#: Bits of the first leg's id in a call; JSON numbers are exact up to 53.
N_ID_BITS = 52


def draw_id():
    """Return an id for the first leg of a call that nobody can foresee."""
    return secrets.randbits(N_ID_BITS)


class Upstreams:
    """Carries out calls of legs and of orders.

    Parameters
    ----------
    feed : callable
        Takes an event.
    reactor : IReactorTCP and IReactorTime
        Opens connections and keeps the time.
    draw_id : callable, optional
        Returns the id of the first leg of a call. It must not be foreseeable: an
        answer that belongs to another call is known by its ids alone.
    """

    def __init__(self, feed, reactor, draw_id=draw_id):
        self._feed = feed
        self._draw_id = draw_id
        self._clock = reactor
        self._leg_pool = ExchangePool(reactor)
        # A kept connection may be closing when an order is written to it, and the
        # outcome would be unknown. A new connection either takes the order or
        # proves that nothing was sent.
        self._order_pool = ExchangePool(reactor, persistent=False)
        self._exchanges = {}
        self._waiting = {}
        self._starter = None

    @property
    def carriers(self):
        """Dict of effect type to the method that carries it out."""
        return {
            CallUpstream: self._queue_call,
            CallOrder: self._call_order,
            CancelCall: self._cancel,
        }

    def close(self):
        """Close the idle connections."""
        return self._leg_pool.close()

    def _queue_call(self, effect):
        self._waiting[effect.call_id] = effect
        if self._starter is None:
            self._starter = self._clock.callLater(0, self._start_calls)

    def _start_calls(self):
        # A query's calls take milliseconds to start. Between two lots of them the
        # reactor sends the frames to other owners that wait behind.
        self._starter = None
        for call_id in list(self._waiting)[:N_STARTS]:
            effect = self._waiting.pop(call_id, None)
            if effect is not None:
                self._call_legs(effect)
        if self._waiting and self._starter is None:
            self._starter = self._clock.callLater(0, self._start_calls)

    def _call_legs(self, effect):
        started = self._clock.seconds()
        first_id = self._draw_id()

        def build(effect):
            return _build_legs(effect, first_id)

        def finish(result):
            elapsed_ms = self._end(effect.call_id, started)
            self._feed(
                read_legs_answer(
                    effect.call_id, effect.legs, result, elapsed_ms, first_id
                )
            )

        traceparent = effect.legs[0].traceparent if effect.legs else ""
        self._begin(self._leg_pool, effect, build, traceparent, finish)

    def _call_order(self, effect):
        started = self._clock.seconds()

        def finish(result):
            elapsed_ms = self._end(effect.call_id, started)
            self._feed(
                read_order_answer(effect.call_id, effect.key, result, elapsed_ms)
            )

        self._begin(self._order_pool, effect, _build_order, effect.traceparent, finish)

    def _begin(self, pool, effect, build, traceparent, finish):
        headers = {b"traceparent": traceparent.encode()} if traceparent else {}
        timeout_s = max(0.0, effect.timeout_ms) / MS_PER_S
        # The mark stands before the call, as a kept connection may fail at once.
        self._exchanges[effect.call_id] = None
        try:
            path, body = build(effect)
            exchange = pool.request(
                b"POST", effect.address, path, headers, body, timeout_s, finish
            )
        except (InvalidArgument, orjson.JSONEncodeError):
            finish(ExchangeFailure(sent=False, reason="unusable call"))
            return
        if effect.call_id in self._exchanges:
            self._exchanges[effect.call_id] = exchange

    def _end(self, call_id, started):
        del self._exchanges[call_id]
        return (self._clock.seconds() - started) * MS_PER_S

    def _cancel(self, effect):
        waiting = self._waiting.pop(effect.call_id, None)
        if waiting is not None:
            unsent = ExchangeFailure(sent=False, reason="cancelled")
            self._feed(read_legs_answer(waiting.call_id, waiting.legs, unsent, 0.0))
            return
        exchange = self._exchanges.get(effect.call_id)
        if exchange is not None:
            exchange.cancel()


def _build_legs(effect, first_id):
    legs = [
        {
            "id": first_id + leg.index,
            "shard": leg.spec.shard,
            "version": leg.version,
            "query_hash": hash_query(leg.query),
            "query": orjson.Fragment(leg.query),
        }
        for leg in effect.legs
    ]
    content = {"deadline_ms": effect.timeout_ms, "legs": legs}
    return b"/v1/legs", orjson.dumps(content)


def _build_order(effect):
    content = {
        "key": effect.key,
        "order": orjson.Fragment(effect.body),
        "deadline_ms": effect.timeout_ms,
    }
    return b"/v1/orders", orjson.dumps(content)
