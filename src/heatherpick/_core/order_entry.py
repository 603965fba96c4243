"""Orders at the node that took them from their callers."""

from dataclasses import dataclass, field

from heatherpick._core.deadlines import DeadlineIndex
from heatherpick._core.effects import AnswerCaller, Count, Observe, SendPeer
from heatherpick._core.events import RequestArrived
from heatherpick._core.messages import KeyedCall, Outcome
from heatherpick._core.order_routes import rank_replicas

__all__ = ["OrderEntry"]

#: Longest idempotency key, in characters.
N_KEY_CHARACTERS = 256

#: Nodes that are asked at most for one request.
N_TRIES = 3

ENTRY_TIMER = "orders:entry"

RETRY_TIMER = "orders:retry"

#: First and longest wait before nodes that refused are asked again, in seconds.
FIRST_RETRY_S = 0.02
LONGEST_RETRY_S = 0.2

#: Reasons that pass while ownership moves from one node to another.
_BRIEF = frozenset(
    {
        "leaving",
        "no owner reachable",
        "no share",
        "not owner",
        "peer lost",
        "unknown upstream",
    }
)

#: Refusals of one node after which another one may do better.
_PASSING = _BRIEF | {
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
    started: float
    deadline: float
    node: str = ""
    tried: set[str] = field(default_factory=set)
    asked: set[str] = field(default_factory=set)
    may_have_run: bool = False
    reason: str = ""
    may_pass: bool = False
    retry_s: float = FIRST_RETRY_S

    def refuse(self, reason):
        """Note why a node did not take it."""
        self.reason = reason
        self.may_pass |= reason in _BRIEF

    def expects(self, node, outcome):
        """Return whether a node's outcome counts: an answer does, however late."""
        is_late_answer = outcome is Outcome.ANSWERED and node in self.asked
        return node == self.node or is_late_answer


class OrderEntry:
    """Open requests by request id.

    Parameters
    ----------
    documents : Documents
        Gives the declarations and drains in force.
    members : Members
        Gives ``owner_of(group, now)``.
    connected : set of str
        Nodes to which messages can be sent.
    out : list
        Effects go here.
    """

    def __init__(self, documents, members, connected, out):
        self._documents = documents
        self._members = members
        self._out = out
        self._requests = {}
        self._connected = connected
        self._deadlines = DeadlineIndex(ENTRY_TIMER)
        self._retries = DeadlineIndex(RETRY_TIMER)

    @property
    def is_idle(self):
        """Whether no caller waits."""
        return not self._requests

    def begin(self, event, now):
        """Take in a `RequestArrived` for a service that may not be repeated."""
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
        self._send(request, now)
        if self._is_open(request):
            self._out += self._deadlines.add(request, deadline, now)

    def result(self, node, message, now):
        """Take in a `KeyedResult`."""
        request = self._requests.get(message.request_id)
        if request is None or not request.expects(node, message.outcome):
            self._out.append(Count("outcomes_dropped", "strange order"))
            return
        if message.outcome is Outcome.NOT_RUN and message.reason in _PASSING:
            request.refuse(message.reason)
            self._send(request, now)
            return
        self._answer(request, message.outcome, message.reason, message.body, now)

    def timer(self, now):
        """Answer the requests whose time is up."""
        due, effects = self._deadlines.pop_due(now)
        self._out += effects
        for request in filter(self._is_open, due):
            if request.node:
                self._answer(request, Outcome.UNKNOWN, "deadline", "", now)
            else:
                self._answer(request, Outcome.NOT_RUN, request.reason, "", now)

    def retry(self, now):
        """Ask again for the requests that nobody took before."""
        due, effects = self._retries.pop_due(now)
        self._out += effects
        for request in filter(self._is_open, due):
            request.tried.clear()
            request.may_pass = False
            self._send(request, now)

    def caller_gone(self, request_id):
        """Forget a request; its order goes on, and a repeat learns the outcome."""
        self._requests.pop(request_id, None)

    def peer_lost(self, node, now):
        """Ask another node for what a lost one may or may not have done.

        The claim makes that safe: whoever comes second learns that it did.
        """
        lost = [each for each in self._requests.values() if each.node == node]
        for request in lost:
            request.may_have_run = True
            request.refuse("peer lost")
            self._send(request, now)

    def _send(self, request, now):
        """Send a request to the next node, or see what to do if none is left."""
        node = self._choose(request, now)
        if not node or len(request.tried) >= N_TRIES or now >= request.deadline:
            self._wait(request, now)
            return
        request.node = node
        request.tried.add(node)
        request.asked.add(node)
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
        self._out.append(SendPeer(node, call))

    def _wait(self, request, now):
        """Ask again a little later if that may help, else answer."""
        request.node = ""
        if not request.tried:
            request.refuse(request.reason or "no owner reachable")
        retry_at = now + request.retry_s
        if not request.may_pass or retry_at >= request.deadline:
            self._answer(request, Outcome.NOT_RUN, request.reason, "", now)
            return
        request.retry_s = min(request.retry_s * 2, LONGEST_RETRY_S)
        self._out += self._retries.add(request, retry_at, now)

    def _is_open(self, request):
        return self._requests.get(request.event.request_id) is request

    def _choose(self, request, now):
        """Return the best node that was not asked yet, or ""."""
        declarations = self._documents.declarations
        drains = self._documents.drains
        event = request.event
        last = ""
        for name in rank_replicas(declarations, event.service, event.key):
            owner = self._members.owner_of(declarations.group_by_upstream[name], now)
            if owner in request.tried or owner not in self._connected:
                continue
            if not drains.covers(declarations.upstreams[name]):
                return owner
            # It sends nothing to a drained upstream, but can look the key up.
            last = last or owner
        return last

    def _refuse(self, event, reason):
        self._out.append(AnswerCaller(event.request_id, Outcome.NOT_RUN, reason))

    def _answer(self, request, outcome, reason, body, now):
        event = request.event
        del self._requests[event.request_id]
        if request.may_have_run and outcome is Outcome.NOT_RUN:
            outcome = Outcome.UNKNOWN
        elapsed_ms = (now - request.started) * 1000
        self._out.append(Observe("keyed_ms", event.service, elapsed_ms))
        self._out.append(AnswerCaller(event.request_id, outcome, reason, body=body))


def _compute_budget_s(declarations, service, event):
    """Return the seconds that an order has from its arrival to its answer."""
    deadline = declarations.deadlines[service.deadline]
    total_ms = deadline.total_ms
    if event.deadline_ms is not None:
        total_ms = min(total_ms, event.deadline_ms)
    return (total_ms - deadline.margin_ms) / 1000


def _check_key(key):
    """Return what is wrong with an idempotency key, or nothing."""
    if not key:
        return "idempotency key missing"
    if len(key) > N_KEY_CHARACTERS:
        return f"idempotency key longer than {N_KEY_CHARACTERS} characters"
    return ""
