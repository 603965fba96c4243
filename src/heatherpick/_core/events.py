"""Events of a node. The reducer is given each of them with the time."""

from dataclasses import dataclass

from heatherpick._core.messages import LegOutcome, LegStatus

__all__ = [
    "CallEnded",
    "CallerGone",
    "DocumentSeen",
    "ObjectConflict",
    "ObjectFailed",
    "ObjectRead",
    "ObjectWritten",
    "OrderEnded",
    "PeerConnected",
    "PeerHello",
    "PeerLost",
    "PeerMessage",
    "RequestArrived",
    "StopRequested",
    "TimerFired",
    "VmsListed",
]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request. ``request_id`` is unguessable and created by the shell.

    ``body`` is the query or the order as JSON text; ``deadline_ms`` is the
    caller's own limit or None; ``key`` is the caller's idempotency key or "".
    """

    request_id: str
    service: str
    body: str
    deadline_ms: float | None = None
    key: str = ""
    traceparent: str = ""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before the answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class PeerConnected:
    """The connection that this node opened to a peer is ready for messages."""

    node: str
    incarnation: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class PeerHello:
    """A peer has opened a connection to this node and listens at ``address``."""

    node: str
    incarnation: str
    data_centre: str
    address: str


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The connection to a peer closed or could not be made.

    With ``inbound``, the newest connection from the peer closed; the connection to
    the peer may still be open.
    """

    node: str
    inbound: bool = False


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from a connected peer."""

    node: str
    message: object


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call of legs to an upstream ended.

    ``outcomes`` has one entry for each leg of the call. ``instance`` is the
    id of the upstream's start as it reports it, or "". ``elapsed_ms`` counts from
    sending.
    """

    call_id: int
    outcomes: tuple[LegOutcome, ...]
    elapsed_ms: float
    instance: str = ""


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """A call of an order to an upstream ended.

    ``status`` says what is known for certain about the upstream's work.
    """

    call_id: int
    status: LegStatus
    body: str = ""
    reason: str = ""
    elapsed_ms: float = 0.0
    instance: str = ""


@dataclass(frozen=True, slots=True)
class DocumentSeen:
    """A document came from the platform's watch, a read or a settings file."""

    name: str
    version: int
    body: str


@dataclass(frozen=True, slots=True)
class ObjectRead:
    """Response to `ReadObject`; version 0 means that there is no such object."""

    token: str
    name: str
    version: int
    body: str


@dataclass(frozen=True, slots=True)
class ObjectWritten:
    """Response to `WriteObject`: the object was written as ``version``."""

    token: str
    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ObjectConflict:
    """Response to `WriteObject`: another write came first; has the current object."""

    token: str
    name: str
    version: int
    body: str


@dataclass(frozen=True, slots=True)
class ObjectFailed:
    """The platform did not respond; a write may or may not have taken effect.

    ``sent`` is false only when no byte of the request was sent for certain.
    """

    token: str
    name: str
    sent: bool


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's list of VMs, which may be out of date."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of `SetTimer` is due."""

    name: str


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The operator or the platform asks the process to stop (SIGTERM)."""
