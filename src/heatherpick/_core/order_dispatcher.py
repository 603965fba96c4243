"""Claims the keys of orders and sends each order to an upstream at most once."""

from collections import OrderedDict, deque
from itertools import count

import orjson

from heatherpick._core.claim_store import ClaimStore
from heatherpick._core.claims import compute_body_hash
from heatherpick._core.deadlines import DeadlineIndex
from heatherpick._core.effects import CallOrder, Count, EndSpan, Observe, SendPeer
from heatherpick._core.keyed_order import KeyedOrder, RecordChange
from heatherpick._core.messages import KeyedResult, LegStatus, Outcome
from heatherpick._core.order_routes import rank_replicas

__all__ = ["OrderDispatcher"]

#: Limit of open orders at one node.
MAX_OPEN_ORDERS = 10_000

#: Limit of keys that a node remembers because their order may have run.
MAX_UNKNOWN_KEYS = 4_096

#: Limit of the time that a call may give an order, in milliseconds.
MAX_REMAINING_MS = 60_000.0

#: Time before the deadline at which an unsent order is refused, in seconds: the
#: refusal must reach the caller before the caller's own deadline.
REPLY_MARGIN_S = 0.02

#: Limit of results that are held for a node without a connection, and the time
#: for which they are held, in seconds.
MAX_HELD_RESULTS = 256
RESULT_HOLD_S = 10.0

DISPATCH_DEADLINE_TIMER = "orders:claims"

#: Statuses that prove that an upstream has not started an order.
_NOT_STARTED_STATUSES = frozenset({LegStatus.NOT_SENT, LegStatus.SHED})


class OrderDispatcher:
    """Open orders, by service and key.

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
    connected_nodes : set of str
        Nodes to which messages can be sent.
    effects : list
        Effects are appended to it.
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
        connected_nodes,
        effects,
        store,
    ):
        self._node_name = node_name
        self._incarnation = incarnation
        self._documents = documents
        self._members = members
        self._slots = slots
        self._connected_nodes = connected_nodes
        self._held_results = {}
        self._effects = effects
        self._store: ClaimStore = store
        self._orders = {}
        self._calls = {}
        self._claim_numbers = count(1)
        # Odd ids here and even ones for legs keep calls of both kinds apart.
        self._call_ids = count(1, 2)
        self._deadlines = DeadlineIndex(DISPATCH_DEADLINE_TIMER)
        self._unknown_keys = OrderedDict()
        self._is_leaving = False

    @property
    def is_idle(self):
        """Whether no order is open and nothing is left to write."""
        return not self._orders and not self._calls and self._store.is_idle

    def handle_call(self, source_node, call, now):
        """Handle a `KeyedCall`."""
        order = self._orders.get((call.service, call.key))
        if order is not None:
            self._join_order(order, source_node, call, now)
            return
        reason = self._find_refusal(call)
        if reason:
            self._refuse(source_node, call, reason, now)
            return
        self._open_order(source_node, call, now)

    def order_ended(self, event, now):
        """Handle an `OrderEnded`."""
        order = self._calls.pop(event.call_id, None)
        if order is None:
            self._effects.append(Count("calls_strange", "unknown order"))
            return
        self._effects.append(Observe("order_ms", order.call.service, event.elapsed_ms))
        self._effects.append(_build_span(order, event, now))
        self._effects += self._slots.release_slot(
            order.upstream, event, order.sent_at, now
        )
        if event.status is LegStatus.ANSWERED:
            order.machine.answer(event.body, now)
        elif event.status is LegStatus.FAILED:
            # A failure that the upstream reports is an outcome like any other.
            failure = {"status": "failed", "reason": event.reason}
            order.machine.answer(orjson.dumps(failure).decode(), now)
        elif event.status in _NOT_STARTED_STATUSES:
            order.tried_upstreams.add(order.upstream)
            reason = event.reason or event.status.name.lower()
            order.machine.mark_unstarted(reason, now)
        else:
            order.machine.lose_outcome(event.reason or "no answer", now)

    def timer(self, now):
        """Abandon the orders that are too late to send."""
        due, effects = self._deadlines.pop_due(now)
        self._effects += effects
        for order in due:
            order.machine.abandon("deadline", now)

    def peer_connected(self, node, now):
        """Send the results that were held for a node."""
        for held_at, result in self._held_results.pop(node, ()):
            if now - held_at <= RESULT_HOLD_S:
                self._effects.append(SendPeer(node, result))

    def begin_leaving(self):
        """Refuse new orders from now on."""
        self._is_leaving = True

    def collect_effects(self, now):
        """Return the effects collected so far and clear them."""
        self._store.flush(now)
        effects = self._effects[:]
        self._effects.clear()
        return effects

    def request_slot(self, order, now):
        """Request a slot of the best upstream not yet tried, or refuse the order."""
        order.upstream, reason = self._choose_upstream(order, now)
        if not order.upstream:
            order.machine.refuse(order.reason or reason, now)
            return
        self._effects += self._slots.reserve_slot(order.upstream, order, now)

    def try_next_upstream(self, order, reason, now):
        """Request a slot of another upstream after one was refused."""
        order.tried_upstreams.add(order.upstream)
        order.reason = reason
        self.request_slot(order, now)

    def withdraw_slot_request(self, order):
        """Withdraw the request for a slot."""
        self._slots.cancel_reservation(order.upstream, order)

    def send_order(self, order, now):
        """Send an order that holds its claim and a slot."""
        order.sent_at = now
        call_id = next(self._call_ids)
        self._calls[call_id] = order
        upstream = self._documents.declarations.upstreams[order.upstream]
        timeout_ms = (order.deadline - now) * 1000
        call = order.call
        self._effects.append(
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
        """Remove the claim of an order that no upstream started."""
        order.claim.is_wanted = False
        order.claim.may_be_written = True
        self._store.add(order.call.service, order.claim, now)

    def record_outcome(self, order, now):
        """Store the outcome with the claim."""
        self._store.add(order.call.service, RecordChange(order), now)

    def answer_from_claim(self, order, entry, now):
        """Answer a repeat from the stored claim of its key."""
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

    def answer_not_run(self, order, reason, now):
        """Answer that the order did not run; its key was found free."""
        self._unknown_keys.pop((order.call.service, order.key), None)
        self.answer(order, Outcome.NOT_RUN, now, reason=reason)

    def answer(self, order, outcome, now, receipt="", reason=""):
        """Send the outcome to all waiting requests and remove the order."""
        order_key = (order.call.service, order.key)
        if outcome is Outcome.UNKNOWN:
            self._unknown_keys[order_key] = None
            if len(self._unknown_keys) > MAX_UNKNOWN_KEYS:
                self._unknown_keys.popitem(last=False)
        elif outcome is Outcome.NOT_RUN and order_key in self._unknown_keys:
            # This request did not run, but an earlier one with its key may have.
            outcome = Outcome.UNKNOWN
        self.send_results(order, outcome, now, receipt, reason)
        self.remove_order(order)

    def send_results(self, order, outcome, now, receipt="", reason=""):
        """Send the outcome to all waiting requests."""
        for request_id, node in order.waiters.items():
            result = KeyedResult(request_id, outcome, receipt, reason)
            self._send_result(node, result, now)
        order.waiters.clear()

    def remove_order(self, order):
        """Remove an order that has ended."""
        order_key = (order.call.service, order.key)
        if self._orders.get(order_key) is order:
            del self._orders[order_key]

    def _find_refusal(self, call):
        if self._is_leaving:
            return "leaving"
        if len(self._orders) >= MAX_OPEN_ORDERS:
            return "too many open orders"
        # Written so that NaN counts as too late.
        if not call.remaining_ms > REPLY_MARGIN_S * 1000:
            return "deadline"
        return ""

    def _open_order(self, source_node, call, now):
        deadline = now + min(call.remaining_ms, MAX_REMAINING_MS) / 1000
        claim_id = f"{self._incarnation}/{next(self._claim_numbers)}"
        order = KeyedOrder.from_call(
            self, call, claim_id, compute_body_hash(call.body), deadline
        )
        order.waiters[call.request_id] = source_node
        self._orders[(call.service, call.key)] = order
        _, order.claim.refusal = self._choose_upstream(order, now)
        self._effects += self._deadlines.add(order, deadline - REPLY_MARGIN_S, now)
        self._store.add(call.service, order.claim, now)

    def _join_order(self, order, source_node, call, now):
        """Let a repeat wait for the outcome of the open order."""
        if compute_body_hash(call.body) != order.body_hash:
            self._refuse(source_node, call, "key of another order", now)
            return
        order.waiters[call.request_id] = source_node
        if order.receipt is not None:
            self.send_results(order, Outcome.ANSWERED, now, order.receipt)

    def _choose_upstream(self, order, now):
        """Return the best upstream for an order, or "" and the reason for none."""
        declarations = self._documents.declarations
        usable = []
        reason = "no upstream"
        for name in rank_replicas(declarations, order.call.service, order.key):
            if name in order.tried_upstreams:
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

    def _refuse(self, source_node, call, reason, now):
        result = KeyedResult(call.request_id, Outcome.NOT_RUN, reason=reason)
        self._send_result(source_node, result, now)

    def _send_result(self, node, result, now):
        label = result.reason or result.outcome.name.lower()
        self._effects.append(Count("orders", label))
        self._effects.append(SendPeer(node, result))
        if node not in self._connected_nodes:
            # A node that has just started connects to others before they connect to it.
            held = self._held_results.setdefault(node, deque(maxlen=MAX_HELD_RESULTS))
            held.append((now, result))


def _build_span(order, event, now):
    return EndSpan(
        order.call.traceparent,
        "order call",
        order.sent_at,
        now,
        (("upstream", order.upstream), ("status", event.status.name)),
    )
