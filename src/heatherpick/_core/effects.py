"""Effects: what the reducer asks the shell to do, as plain data."""

from dataclasses import dataclass

from heatherpick._core.messages import LegSpec, Outcome

__all__ = [
    "AnswerCaller",
    "CallOrder",
    "CallUpstream",
    "CalledLeg",
    "CancelCall",
    "CancelTimer",
    "Count",
    "DropPeer",
    "EndSpan",
    "Exit",
    "ListVms",
    "Log",
    "Observe",
    "OpenPeer",
    "ReadObject",
    "SendPeer",
    "SetReadiness",
    "SetTimer",
    "SetWatch",
    "WriteObject",
]


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Answer a caller. ``n_shards`` is 0 for a request that is not a search.

    ``hits`` is a tuple of hit objects of a search; ``body`` is an order's answer
    as JSON text; ``missing`` are the shards that the answer does not cover.
    """

    request_id: str
    outcome: Outcome
    reason: str = ""
    hits: tuple = ()
    body: str = ""
    n_shards: int = 0
    n_covered: int = 0
    missing: tuple[int, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class OpenPeer:
    """Keep a connection to a peer open and reconnect when it breaks."""

    node: str
    address: str


@dataclass(frozen=True, slots=True)
class DropPeer:
    """Close the connection to a peer and do not open it again."""

    node: str


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send one of `heatherpick._core.messages` to a connected peer."""

    node: str
    message: object


@dataclass(frozen=True, slots=True)
class CalledLeg:
    """A leg in a call, with the query that it belongs to.

    ``index`` is its position in the call and is echoed as its outcome's leg id
    by the shell, so that legs of several queries cannot be confused.
    """

    index: int
    spec: LegSpec
    request_id: str
    version: int
    query: str
    traceparent: str


@dataclass(frozen=True, slots=True)
class CallUpstream:
    """Send legs to an upstream in one call; answered by `CallEnded`."""

    call_id: int
    upstream: str
    address: str
    legs: tuple[CalledLeg, ...]
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CallOrder:
    """Send an order to an upstream, once; answered by `OrderEnded`."""

    call_id: int
    upstream: str
    address: str
    key: str
    body: str
    timeout_ms: float
    traceparent: str


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancel a call; its `CallEnded` still comes, with status unknown."""

    call_id: int


@dataclass(frozen=True, slots=True)
class ReadObject:
    """Read an object of the platform."""

    token: str
    name: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class WriteObject:
    """Write an object if its version is still ``expected_version`` (0: absent)."""

    token: str
    name: str
    expected_version: int
    body: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SetWatch:
    """Start or stop this node's watch on the platform's shared documents."""

    on: bool


@dataclass(frozen=True, slots=True)
class ListVms:
    """Ask the platform for its list of live and leaving VMs; gives `VmsListed`."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Fire `TimerFired` after ``after_ms``; replaces a timer of the same name."""

    name: str
    after_ms: float


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Cancel a timer; does nothing if there is no timer of that name."""

    name: str


@dataclass(frozen=True, slots=True)
class SetReadiness:
    """Tell the load balancer whether this node accepts callers."""

    ready: bool


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process; no response is outstanding any more."""

    code: int = 0


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter; ``label`` is the reason of a refusal or a drop."""

    name: str
    label: str = ""
    amount: int = 1


@dataclass(frozen=True, slots=True)
class Observe:
    """Record a duration in a histogram, in milliseconds."""

    name: str
    label: str
    value_ms: float


@dataclass(frozen=True, slots=True)
class EndSpan:
    """Record one finished hop of a trace.

    ``traceparent`` is the parent's context; ``started`` and ``ended`` are seconds
    of the runtime's clock; ``attributes`` are pairs of name and value.
    """

    traceparent: str
    name: str
    started: float
    ended: float
    attributes: tuple[tuple[str, str | int | float | bool], ...] = ()


@dataclass(frozen=True, slots=True)
class Log:
    """Write one JSON line."""

    message: str
    fields: tuple[tuple[str, str | int | float | bool], ...] = ()
