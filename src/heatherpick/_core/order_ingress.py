"""Accepts orders from callers and forwards each to a node that can claim its key."""

from dataclasses import dataclass, field

from heatherpick._core.deadlines import DeadlineIndex
from heatherpick._core.effects import AnswerCaller, Count, Observe, SendPeer
from heatherpick._core.events import RequestArrived
from heatherpick._core.messages import KeyedCall, Outcome
from heatherpick._core.order_routes import rank_replicas

__all__ = ["OrderIngress"]

#: Maximum length of an idempotency key, in characters.
MAX_KEY_CHARACTERS = 256

#: Limit of nodes that a request is sent to before it is delayed or answered.
MAX_ATTEMPTS_PER_ROUND = 3

INGRESS_DEADLINE_TIMER = "orders:entry"

INGRESS_RETRY_TIMER = "orders:retry"

#: Initial and maximum delay before a request is sent to the same nodes again, in
#: seconds.
INITIAL_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.2

#: Refusals that are transient while ownership moves from one node to another.
_TRANSIENT_REASONS = frozenset(
    {
        "leaving",
        "no owner reachable",
        "no share",
        "not owner",
        "peer lost",
        "unknown upstream",
    }
)

#: Refusals of one node after which the request is sent to another one.
_FAILOVER_REASONS = _TRANSIENT_REASONS | {
    "backing off",
    "drained",
    "no upstream",
    "overload",
    "too many open orders",
}


@dataclass(slots=True, eq=False)
class _OpenRequest:
    """A caller's order that waits for its outcome."""

    event: RequestArrived
    started_at: float
    deadline: float
    node: str = ""
    tried_nodes: set[str] = field(default_factory=set)
    asked_nodes: set[str] = field(default_factory=set)
    may_have_run: bool = False
    reason: str = ""
    may_retry: bool = False
    retry_delay_s: float = INITIAL_RETRY_DELAY_S

    def note_refusal(self, reason):
        """Record why a node did not accept it."""
        self.reason = reason
        self.may_retry |= reason in _TRANSIENT_REASONS

    def expects(self, node, outcome):
        """Return whether a node's outcome is accepted; an answer is, however late."""
        is_late_answer = outcome is Outcome.ANSWERED and node in self.asked_nodes
        return node == self.node or is_late_answer


class OrderIngress:
    """Open requests of callers, by request id.

    Parameters
    ----------
    documents : Documents
        Gives the declarations and drains in force.
    members : Members
        Gives ``owner_of(group, now)``.
    connected_nodes : set of str
        Nodes to which messages can be sent.
    effects : list
        Effects are appended to it.
    """

    def __init__(self, documents, members, connected_nodes, effects):
        self._documents = documents
        self._members = members
        self._effects = effects
        self._requests = {}
        self._connected_nodes = connected_nodes
        self._deadlines = DeadlineIndex(INGRESS_DEADLINE_TIMER)
        self._retries = DeadlineIndex(INGRESS_RETRY_TIMER)

    @property
    def is_idle(self):
        """Whether no request is open."""
        return not self._requests

    def begin(self, event, now):
        """Handle a `RequestArrived` for a service that may not be repeated."""
        declarations = self._documents.declarations
        service = declarations.services.get(event.service)
        if service is None:
            self._refuse(event, "unknown service")
            return
        deadline = now + _compute_budget_s(declarations, service, event)
        reason = _check_key(event.key) or ("" if deadline > now else "deadline")
        if reason:
            self._refuse(event, reason)
            return
        request = _OpenRequest(event, now, deadline)
        self._requests[event.request_id] = request
        self._send_to_next_node(request, now)
        if self._is_open(request):
            self._effects += self._deadlines.add(request, deadline, now)

    def handle_result(self, node, message, now):
        """Handle a `KeyedResult`."""
        request = self._requests.get(message.request_id)
        if request is None or not request.expects(node, message.outcome):
            self._effects.append(Count("outcomes_dropped", "strange order"))
            return
        if message.outcome is Outcome.NOT_RUN and message.reason in _FAILOVER_REASONS:
            request.note_refusal(message.reason)
            self._send_to_next_node(request, now)
            return
        self._answer_caller(request, message.outcome, message.reason, message.body, now)

    def timer(self, now):
        """Answer the requests whose deadline has passed."""
        due, effects = self._deadlines.pop_due(now)
        self._effects += effects
        for request in filter(self._is_open, due):
            if request.node:
                self._answer_caller(request, Outcome.UNKNOWN, "deadline", "", now)
            else:
                self._answer_caller(request, Outcome.NOT_RUN, request.reason, "", now)

    def retry_due(self, now):
        """Send the requests again that no node accepted."""
        due, effects = self._retries.pop_due(now)
        self._effects += effects
        for request in filter(self._is_open, due):
            request.tried_nodes.clear()
            request.may_retry = False
            self._send_to_next_node(request, now)

    def caller_gone(self, request_id):
        """Remove a request; its order continues, and a repeat gets the outcome."""
        self._requests.pop(request_id, None)

    def peer_lost(self, node, now):
        """Send the open requests of a lost node, which may have run, to another.

        The claim makes that safe: the second node finds the claim of the first.
        """
        lost = [each for each in self._requests.values() if each.node == node]
        for request in lost:
            request.may_have_run = True
            request.note_refusal("peer lost")
            self._send_to_next_node(request, now)

    def _send_to_next_node(self, request, now):
        """Send a request to the next node; if none is left, delay or answer it."""
        node = self._choose_node(request, now)
        if (
            not node
            or len(request.tried_nodes) >= MAX_ATTEMPTS_PER_ROUND
            or now >= request.deadline
        ):
            self._retry_or_answer(request, now)
            return
        request.node = node
        request.tried_nodes.add(node)
        request.asked_nodes.add(node)
        event = request.event
        remaining_ms = (request.deadline - now) * 1000
        call = KeyedCall(
            event.request_id,
            event.service,
            event.key,
            event.body,
            remaining_ms,
            event.traceparent,
        )
        self._effects.append(SendPeer(node, call))

    def _retry_or_answer(self, request, now):
        """Schedule a retry if the refusals were transient, else answer."""
        request.node = ""
        if not request.tried_nodes:
            request.note_refusal(request.reason or "no owner reachable")
        retry_at = now + request.retry_delay_s
        if not request.may_retry or retry_at >= request.deadline:
            self._answer_caller(request, Outcome.NOT_RUN, request.reason, "", now)
            return
        request.retry_delay_s = min(request.retry_delay_s * 2, MAX_RETRY_DELAY_S)
        self._effects += self._retries.add(request, retry_at, now)

    def _is_open(self, request):
        return self._requests.get(request.event.request_id) is request

    def _choose_node(self, request, now):
        """Return the best node that was not tried yet, or ""."""
        declarations = self._documents.declarations
        drains = self._documents.drains
        event = request.event
        fallback = ""
        for name in rank_replicas(declarations, event.service, event.key):
            owner = self._members.owner_of(declarations.group_by_upstream[name], now)
            if owner in request.tried_nodes or owner not in self._connected_nodes:
                continue
            if not drains.covers(declarations.upstreams[name]):
                return owner
            # Its owner sends nothing to a drained upstream, but can look the key up.
            fallback = fallback or owner
        return fallback

    def _refuse(self, event, reason):
        self._effects.append(AnswerCaller(event.request_id, Outcome.NOT_RUN, reason))

    def _answer_caller(self, request, outcome, reason, body, now):
        event = request.event
        del self._requests[event.request_id]
        if request.may_have_run and outcome is Outcome.NOT_RUN:
            outcome = Outcome.UNKNOWN
        elapsed_ms = (now - request.started_at) * 1000
        self._effects.append(Observe("keyed_ms", event.service, elapsed_ms))
        self._effects.append(AnswerCaller(event.request_id, outcome, reason, body=body))


def _compute_budget_s(declarations, service, event):
    """Return the seconds that an order has from its arrival to its answer."""
    deadline = declarations.deadlines[service.deadline]
    total_ms = deadline.total_ms
    if event.deadline_ms is not None:
        total_ms = min(total_ms, event.deadline_ms)
    return (total_ms - deadline.margin_ms) / 1000


def _check_key(key):
    """Return what is wrong with an idempotency key, or ""."""
    if not key:
        return "idempotency key missing"
    if len(key) > MAX_KEY_CHARACTERS:
        return f"idempotency key longer than {MAX_KEY_CHARACTERS} characters"
    return ""
