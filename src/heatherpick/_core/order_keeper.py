"""Orders at the node that claims their keys and sends them, each at most once."""

from collections import OrderedDict, deque
from itertools import count

import orjson

from heatherpick._core.claim_store import ClaimStore
from heatherpick._core.claims import compute_body_hash
from heatherpick._core.deadlines import DeadlineIndex
from heatherpick._core.effects import CallOrder, Count, EndSpan, Observe, SendPeer
from heatherpick._core.messages import KeyedResult, LegStatus, Outcome
from heatherpick._core.order_life import KeyedOrder, RecordChange
from heatherpick._core.order_routes import rank_replicas

__all__ = ["OrderKeeper"]

#: Orders that may be open at one node.
N_OPEN_ORDERS = 10_000

#: Keys whose order may have run that a node remembers.
N_UNKNOWN_KEYS = 4_096

#: Longest time that an order may ask for, in milliseconds.
LONGEST_REMAINING_MS = 60_000.0

#: Time before the deadline at which an unsent order is refused, in seconds: the
#: refusal must reach the caller while it still believes it.
REPLY_S = 0.02

#: Results that are kept for a node to which there is no connection, and for how
#: long, in seconds.
N_HELD_RESULTS = 256
HOLD_S = 10.0

CLAIM_TIMER = "orders:claims"

#: Statuses that prove that an upstream has not started an order.
_UNSTARTED = frozenset({LegStatus.NOT_SENT, LegStatus.SHED})


class OrderKeeper:
    """Open orders by service and key.

    Parameters
    ----------
    node_name, incarnation : str
        Name of this node and the unique id of this start of it.
    documents : Documents
        Gives the declarations in force.
    members : Members
        Gives ``owner_of(group, now)``.
    slots : Admission
        Gives slots of upstreams.
    connected : set of str
        Nodes to which messages can be sent.
    out : list
        Effects go here.
    store : ClaimStore
        The claims.
    """

    def __init__(
        self,
        node_name,
        incarnation,
        documents,
        members,
        slots,
        connected,
        out,
        store,
    ):
        self._node_name = node_name
        self._incarnation = incarnation
        self._documents = documents
        self._members = members
        self._slots = slots
        self._connected = connected
        self._held = {}
        self._out = out
        self._store: ClaimStore = store
        self._orders = {}
        self._calls = {}
        self._claim_numbers = count(1)
        # Odd ids here and even ones for legs keep calls of both kinds apart.
        self._call_ids = count(1, 2)
        self._deadlines = DeadlineIndex(CLAIM_TIMER)
        self._unknown = OrderedDict()
        self._is_leaving = False

    @property
    def is_idle(self):
        """Whether no order is open and nothing is left to write."""
        return not self._orders and not self._calls and self._store.is_idle

    def call(self, source, call, now):
        """Take in a `KeyedCall`."""
        order = self._orders.get((call.service, call.key))
        if order is not None:
            self._join(order, source, call, now)
            return
        reason = self._refusal(call)
        if reason:
            self._refuse(source, call, reason, now)
            return
        self._open(source, call, now)

    def order_ended(self, event, now):
        """Take in an `OrderEnded`."""
        order = self._calls.pop(event.call_id, None)
        if order is None:
            self._out.append(Count("calls_strange", "unknown order"))
            return
        self._out.append(Observe("order_ms", order.call.service, event.elapsed_ms))
        self._out.append(_build_span(order, event, now))
        self._out += self._slots.release_slot(order.upstream, event, order.sent_at, now)
        if event.status is LegStatus.ANSWERED:
            order.life.answer(event.body, now)
        elif event.status is LegStatus.FAILED:
            # The upstream's own word that it failed is an outcome like any other.
            failure = {"status": "failed", "reason": event.reason}
            order.life.answer(orjson.dumps(failure).decode(), now)
        elif event.status in _UNSTARTED:
            order.tried.add(order.upstream)
            reason = event.reason or event.status.name.lower()
            order.life.return_unstarted(reason, now)
        else:
            order.life.vanish(event.reason or "no answer", now)

    def timer(self, now):
        """Give up the orders that are too late to send."""
        due, effects = self._deadlines.pop_due(now)
        self._out += effects
        for order in due:
            order.life.give_up("deadline", now)

    def peer_connected(self, node, now):
        """Send the results that waited for the connection to a node."""
        for held_at, result in self._held.pop(node, ()):
            if now - held_at <= HOLD_S:
                self._out.append(SendPeer(node, result))

    def begin_leaving(self):
        """Take no new order."""
        self._is_leaving = True

    def take_effects(self, now):
        """Return the effects that have gathered."""
        self._store.flush(now)
        effects = self._out[:]
        self._out.clear()
        return effects

    def seek_slot(self, order, now):
        """Ask for a slot of the best upstream that is left, or refuse the order."""
        order.upstream, reason = self._choose(order, now)
        if not order.upstream:
            order.life.refuse(order.reason or reason, now)
            return
        self._out += self._slots.reserve_slot(order.upstream, order, now)

    def seek_other(self, order, reason, now):
        """Pass over an upstream that gives no slot."""
        order.tried.add(order.upstream)
        order.reason = reason
        self.seek_slot(order, now)

    def withdraw(self, order):
        """Wait no longer for a slot."""
        self._slots.cancel_reservation(order.upstream, order)

    def send(self, order, now):
        """Send an order whose claim is held, and whose slot is taken."""
        order.sent_at = now
        call_id = next(self._call_ids)
        self._calls[call_id] = order
        upstream = self._documents.declarations.upstreams[order.upstream]
        timeout_ms = (order.deadline - now) * 1000
        call = order.call
        self._out.append(
            CallOrder(
                call_id,
                upstream.name,
                upstream.address,
                call.key,
                call.body,
                timeout_ms,
                call.traceparent,
            )
        )

    def release_claim(self, order, now):
        """Take the claim of an order that no upstream started out again."""
        order.claim.is_wanted = False
        order.claim.may_be_written = True
        self._store.add(order.call.service, order.claim, now)

    def record_outcome(self, order, now):
        """Keep the outcome with the claim."""
        self._store.add(order.call.service, RecordChange(order), now)

    def answer_from(self, order, entry, now):
        """Answer a repeat from what the claims say about its key."""
        if entry.body_hash != order.body_hash:
            self.answer(order, Outcome.NOT_RUN, now, reason="key of another order")
        elif entry.receipt is not None:
            self.answer(order, Outcome.ANSWERED, now, entry.receipt)
        elif entry.is_answered:
            self.answer(
                order, Outcome.UNKNOWN, now, reason="ran, receipt too long to keep"
            )
        else:
            self.answer(
                order, Outcome.UNKNOWN, now, reason="claimed before, no outcome known"
            )

    def answer_free(self, order, reason, now):
        """Tell that the order did not run and that its key was seen free."""
        self._unknown.pop((order.call.service, order.key), None)
        self.answer(order, Outcome.NOT_RUN, now, reason=reason)

    def answer(self, order, outcome, now, receipt="", reason=""):
        """Tell the outcome to all who wait, and forget the order."""
        name = (order.call.service, order.key)
        if outcome is Outcome.UNKNOWN:
            self._unknown[name] = None
            if len(self._unknown) > N_UNKNOWN_KEYS:
                self._unknown.popitem(last=False)
        elif outcome is Outcome.NOT_RUN and name in self._unknown:
            # True of this request, but the caller asks about its key.
            outcome = Outcome.UNKNOWN
        self.tell(order, outcome, now, receipt, reason)
        self.forget(order)

    def tell(self, order, outcome, now, receipt="", reason=""):
        """Tell the outcome to all who wait."""
        for request_id, node in order.waiters.items():
            result = KeyedResult(request_id, outcome, receipt, reason)
            self._send_result(node, result, now)
        order.waiters.clear()

    def forget(self, order):
        """Forget an order that is over."""
        name = (order.call.service, order.key)
        if self._orders.get(name) is order:
            del self._orders[name]

    def _refusal(self, call):
        if self._is_leaving:
            return "leaving"
        if len(self._orders) >= N_OPEN_ORDERS:
            return "too many open orders"
        # Written so that a value that is no number counts as too late.
        if not call.remaining_ms > REPLY_S * 1000:
            return "deadline"
        return ""

    def _open(self, source, call, now):
        deadline = now + min(call.remaining_ms, LONGEST_REMAINING_MS) / 1000
        claim_id = f"{self._incarnation}/{next(self._claim_numbers)}"
        order = KeyedOrder.from_call(
            self, call, claim_id, compute_body_hash(call.body), deadline
        )
        order.waiters[call.request_id] = source
        self._orders[(call.service, call.key)] = order
        _, order.claim.refusal = self._choose(order, now)
        self._out += self._deadlines.add(order, deadline - REPLY_S, now)
        self._store.add(call.service, order.claim, now)

    def _join(self, order, source, call, now):
        """Let a repeat wait for the order that is open already."""
        if compute_body_hash(call.body) != order.body_hash:
            self._refuse(source, call, "key of another order", now)
            return
        order.waiters[call.request_id] = source
        if order.receipt is not None:
            self.tell(order, Outcome.ANSWERED, now, order.receipt)

    def _choose(self, order, now):
        """Return the best upstream for an order, or "" and the reason for none."""
        declarations = self._documents.declarations
        usable = []
        reason = "no upstream"
        for name in rank_replicas(declarations, order.call.service, order.key):
            if name in order.tried:
                continue
            owner = self._members.owner_of(declarations.group_by_upstream[name], now)
            if owner != self._node_name:
                reason = "not owner"
                continue
            reason = self._slots.get_slot_refusal(name, order.deadline - now, now)
            if not reason and self._slots.has_free_slot(name, now):
                return name, ""
            if not reason:
                usable.append(name)
        return (usable[0], "") if usable else ("", reason)

    def _refuse(self, source, call, reason, now):
        result = KeyedResult(call.request_id, Outcome.NOT_RUN, reason=reason)
        self._send_result(source, result, now)

    def _send_result(self, node, result, now):
        label = result.reason or result.outcome.name.lower()
        self._out.append(Count("orders", label))
        self._out.append(SendPeer(node, result))
        if node not in self._connected:
            # A node that has just started reaches others before they reach it.
            held = self._held.setdefault(node, deque(maxlen=N_HELD_RESULTS))
            held.append((now, result))


def _build_span(order, event, now):
    return EndSpan(
        order.call.traceparent,
        "order call",
        order.sent_at,
        now,
        (("upstream", order.upstream), ("status", event.status.name)),
    )
