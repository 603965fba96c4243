"""Messages between nodes. Each is a frozen data class; the shell encodes them."""

from dataclasses import dataclass
from enum import IntEnum

__all__ = [
    "DocumentReply",
    "DocumentRequest",
    "Heartbeat",
    "Hello",
    "KeyedCall",
    "KeyedResult",
    "LegBatch",
    "LegCancel",
    "LegOutcome",
    "LegResults",
    "LegSpec",
    "LegStatus",
    "Outcome",
]


class LegStatus(IntEnum):
    """How one leg ended, by what is known for certain about the upstream's work."""

    ANSWERED = 0
    #: Not sent to an upstream: queue expired, cancelled, drained, no share, moved.
    NOT_SENT = 1
    #: The upstream reported that it did not start the work.
    SHED = 2
    #: The upstream no longer serves the pinned index version.
    GONE = 3
    #: The upstream started the work and reported a failure.
    FAILED = 4
    #: A byte may have been sent and no response came.
    UNKNOWN = 5


class Outcome(IntEnum):
    """Outcome of a request as reported to its caller."""

    ANSWERED = 0
    PARTIAL = 1
    NOT_RUN = 2
    UNKNOWN = 3


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a peer connection, in both directions.

    ``incarnation`` is unique for each start of the process; ``address`` is the
    ``ip:port`` at which the sender accepts peer connections.
    """

    node: str
    incarnation: str
    data_centre: str
    address: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness, votes and document versions of the sender.

    Parameters
    ----------
    link : int
        Hash of the incarnations of sender and receiver; identifies the start of
        the sender and the start of the receiver that the heartbeat is meant for.
    sequence : int
        Counts the sender's heartbeats to this receiver from 1.
    echo : int
        Last sequence that the sender received from the receiver; 0 for none.
    epoch : int
        Version of the membership document of the sender's data centre.
    settled, unsettled : bytes
        Bit sets, little endian, over the `Membership.universe` of that epoch. The
        sender's vote for a group goes to the first by rank in either set, if that
        one is settled, otherwise to no node.
    grouping : int
        Hash of the groups of upstreams that the votes are for.
    has_excess : bool
        Whether calls may still be running that the sender's present shares would
        not permit.
    leaving : bool
        Set from the start of a planned stop.
    released : bool
        Set once a leaving sender sends nothing to upstreams any more.
    versions : tuple of tuple of (str, int)
        Document versions that the receiver may not know.
    """

    link: int
    sequence: int
    echo: int
    epoch: int
    settled: bytes
    unsettled: bytes
    grouping: int
    has_excess: bool
    leaving: bool
    released: bool
    versions: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class LegSpec:
    """One shard's part of a query, to one upstream."""

    leg_id: int
    upstream: str
    shard: int


@dataclass(frozen=True, slots=True)
class LegBatch:
    """The legs of one query that go to upstreams owned by one node.

    ``remaining_ms`` is the time left when the message was sent; ``traceparent``
    is the W3C trace context of the sending span.
    """

    request_id: str
    service: str
    shard_set: str
    version: int
    priority: int
    remaining_ms: float
    query: str
    traceparent: str
    legs: tuple[LegSpec, ...]


@dataclass(frozen=True, slots=True)
class LegOutcome:
    """How one leg ended; ``version`` and ``hits`` are as the upstream sent them."""

    leg_id: int
    shard: int
    status: LegStatus
    version: int = 0
    hits: tuple = ()
    reason: str = ""
    service_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class LegResults:
    """Outcomes of some legs of one `LegBatch`."""

    request_id: str
    outcomes: tuple[LegOutcome, ...]


@dataclass(frozen=True, slots=True)
class LegCancel:
    """Ask the owner to drop legs whose outcome is no longer wanted."""

    request_id: str
    leg_ids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """Forward a request that may not be repeated to the node that owns its key."""

    request_id: str
    service: str
    key: str
    body: str
    remaining_ms: float
    traceparent: str


@dataclass(frozen=True, slots=True)
class KeyedResult:
    """The outcome of a `KeyedCall`."""

    request_id: str
    outcome: Outcome
    body: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Ask a peer for a document of which it has a newer version."""

    name: str


@dataclass(frozen=True, slots=True)
class DocumentReply:
    """A document as the platform published it."""

    name: str
    version: int
    body: str
