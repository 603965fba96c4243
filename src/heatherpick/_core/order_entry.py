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

#: Refusals of one node after which another one may do better.
_PASSING = frozenset(
    {
        "backing off",
        "drained",
        "leaving",
        "no share",
        "no upstream",
        "not owner",
        "overload",
        "too many open orders",
        "unknown upstream",
    }
)


@dataclass(slots=True, eq=False)
class _OpenRequest:
    """A caller's order that waits for its outcome."""

    event: RequestArrived
    started: float
    deadline: float
    node: str = ""
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False


class OrderEntry:
    """Open requests by request id.

    Parameters
    ----------
    node_name : str
        Name of this node.
    documents : Documents
        Gives the declarations and drains in force.
    members : Members
        Gives ``owner_of(group, now)``.
    out : list
        Effects go here.
    """

    def __init__(self, node_name, documents, members, out):
        self._node_name = node_name
        self._documents = documents
        self._members = members
        self._out = out
        self._requests = {}
        self._connected = {node_name}
        self._deadlines = DeadlineIndex(ENTRY_TIMER)

    @property
    def is_idle(self):
        """Whether no caller waits."""
        return not self._requests

    def begin(self, event, now):
        """Take in a `RequestArrived` for a service that may not be repeated."""
        reason = _check_key(event.key)
        declarations = self._documents.declarations
        service = declarations.services.get(event.service)
        if service is None:
            reason = "unknown service"
        if reason:
            answer = AnswerCaller(event.request_id, Outcome.NOT_RUN, reason)
            self._out.append(answer)
            return
        declared = declarations.deadlines[service.deadline]
        total_ms = declared.total_ms
        if event.deadline_ms is not None:
            total_ms = min(total_ms, event.deadline_ms)
        deadline = now + (total_ms - declared.margin_ms) / 1000
        request = _OpenRequest(event, now, deadline)
        self._requests[event.request_id] = request
        self._send(request, "no owner reachable" if deadline > now else "deadline", now)
        if event.request_id in self._requests:
            self._out += self._deadlines.add(request, deadline, now)

    def result(self, node, message, now):
        """Take in a `KeyedResult`."""
        request = self._requests.get(message.request_id)
        if request is None or request.node != node:
            self._out.append(Count("outcomes_dropped", "strange order"))
            return
        if message.outcome is Outcome.NOT_RUN and message.reason in _PASSING:
            self._send(request, message.reason, now)
            return
        self._answer(request, message.outcome, message.reason, message.body, now)

    def timer(self, now):
        """Answer the requests whose time is up."""
        due, effects = self._deadlines.pop_due(now)
        self._out += effects
        for request in due:
            if self._requests.get(request.event.request_id) is request:
                request.may_have_run = True
                self._answer(request, Outcome.UNKNOWN, "deadline", "", now)

    def caller_gone(self, request_id):
        """Forget a request; its order goes on, and a repeat learns the outcome."""
        self._requests.pop(request_id, None)

    def peer_connected(self, node):
        """Note that messages can be sent to a node."""
        self._connected.add(node)

    def peer_lost(self, node, now):
        """Ask another node for what a lost one may or may not have done.

        The claim makes that safe: whoever comes second learns that it did.
        """
        if node != self._node_name:
            self._connected.discard(node)
        lost = [each for each in self._requests.values() if each.node == node]
        for request in lost:
            request.may_have_run = True
            self._send(request, "peer lost", now)

    def _send(self, request, reason, now):
        """Send a request to the next node, or answer that none is left."""
        node = self._choose(request, now)
        if not node or len(request.tried) >= N_TRIES or now >= request.deadline:
            self._answer(request, Outcome.NOT_RUN, reason, "", now)
            return
        request.node = node
        request.tried.add(node)
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

    def _choose(self, request, now):
        """Return the best node that was not asked yet, or ""."""
        declarations = self._documents.declarations
        drains = self._documents.drains
        event = request.event
        last = ""
        for name in rank_replicas(declarations, event.service, event.key):
            owner = self._members.owner_of(declarations.group_of[name], now)
            if owner in request.tried or owner not in self._connected:
                continue
            if not drains.covers(declarations.upstreams[name]):
                return owner
            # It sends nothing to a drained upstream, but can look the key up.
            last = last or owner
        return last

    def _answer(self, request, outcome, reason, body, now):
        event = request.event
        del self._requests[event.request_id]
        if request.may_have_run and outcome is Outcome.NOT_RUN:
            outcome = Outcome.UNKNOWN
        elapsed_ms = (now - request.started) * 1000
        self._out.append(Observe("keyed_ms", event.service, elapsed_ms))
        self._out.append(AnswerCaller(event.request_id, outcome, reason, body=body))


def _check_key(key):
    """Return what is wrong with an idempotency key, or nothing."""
    if not key:
        return "idempotency key missing"
    if len(key) > N_KEY_CHARACTERS:
        return f"idempotency key longer than {N_KEY_CHARACTERS} characters"
    return ""
