"""Everything that can happen to a node. The reducer gets each with the time."""

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
    """A caller's request. ``request_id`` is unguessable and made by the shell.

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
    """A peer has opened a connection to this node; ``address`` dials it back."""

    node: str
    incarnation: str
    data_centre: str
    address: str


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The connection to a peer closed or could not be made.

    With ``inbound`` it is the newest connection from the peer that closed; the one
    to it may go on.
    """

    node: str
    inbound: bool = False


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of a connected peer."""

    node: str
    message: object


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call of legs to an upstream ended.

    ``outcomes`` has one entry for each leg of the call. ``instance`` is the
    upstream's start id as it states it, or "". ``elapsed_ms`` counts from sending.
    """

    call_id: int
    outcomes: tuple[LegOutcome, ...]
    elapsed_ms: float
    instance: str = ""


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """An order at an upstream ended: the status says what is proved."""

    call_id: int
    status: LegStatus
    body: str = ""
    reason: str = ""
    elapsed_ms: float = 0.0
    instance: str = ""


@dataclass(frozen=True, slots=True)
class DocumentSeen:
    """The platform's watch, a read or a settings file gave a document."""

    name: str
    version: int
    body: str


@dataclass(frozen=True, slots=True)
class ObjectRead:
    """Answer of `ReadObject`; version 0 means that there is no such object."""

    token: str
    name: str
    version: int
    body: str


@dataclass(frozen=True, slots=True)
class ObjectWritten:
    """Answer of `WriteObject`: the write took effect as ``version``."""

    token: str
    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ObjectConflict:
    """Answer of `WriteObject`: another write came first; here is the object."""

    token: str
    name: str
    version: int
    body: str


@dataclass(frozen=True, slots=True)
class ObjectFailed:
    """No answer of the platform; a write may or may not have taken effect.

    ``sent`` is false only when it is proved that no byte left.
    """

    token: str
    name: str
    sent: bool


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's lagging list of VMs."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of `SetTimer` is due."""

    name: str


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The operator or the platform asks the process to stop (SIGTERM)."""
