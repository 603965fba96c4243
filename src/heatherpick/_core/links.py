"""State of the heartbeats between this node and each incarnation of its peers."""

import math
from collections import deque
from dataclasses import dataclass, field

import xxhash

from heatherpick._core.membership import Member

__all__ = ["Ballot", "Link", "Links"]

#: Documents whose version is kept for each peer.
MAX_DOCUMENTS = 256

#: Unacknowledged heartbeats whose send time is kept for each peer.
MAX_PENDING_HEARTBEATS = 64


def compute_link_hash(sender, receiver):
    """Return the hash that identifies heartbeats between two incarnations."""
    return xxhash.xxh32_intdigest(f"{sender}\n{receiver}".encode())


@dataclass(frozen=True, slots=True)
class Ballot:
    """The votes of a node as one of its heartbeats states them.

    ``settled`` and ``unsettled`` are bit sets over the `Membership.universe` of
    ``epoch``; ``grouping`` is the hash of the groups that the votes are for.
    """

    epoch: int = 0
    settled: int = 0
    unsettled: int = 0
    grouping: int = 0


@dataclass(slots=True)
class Link:
    """State of the heartbeats to and from one incarnation of a peer.

    ``lease_start`` is when the newest heartbeat that the peer has echoed was sent;
    ``ballot_lease_start`` is the lease start when ``ballot`` was last confirmed.
    ``stated_ballot`` is the newest ballot; it replaces ``ballot`` once its epoch is
    known, and ``is_ballot_pending`` is set until then. ``epoch_seen_at`` is when the
    peer first stated its current epoch, and ``has_ended_older_calls`` whether no call
    from before that epoch can still be running there. Times are in seconds.
    """

    node: str
    incarnation: str
    data_centre: str
    address: str
    inbound_hash: int
    outbound_hash: int
    last_sent_sequence: int = 0
    last_received_sequence: int = 0
    last_echoed_sequence: int = 0
    last_received_at: float = -math.inf
    lease_start: float = -math.inf
    sent_times: deque = field(
        default_factory=lambda: deque(maxlen=MAX_PENDING_HEARTBEATS)
    )
    opened_at: float = -math.inf
    epoch: int = 0
    epoch_seen_at: float = math.inf
    has_ended_older_calls: bool = False
    may_have_excess: bool = True
    is_leaving: bool = False
    is_released: bool = False
    stated_ballot: Ballot = Ballot()
    ballot: Ballot = Ballot()
    ballot_lease_start: float = -math.inf
    is_ballot_pending: bool = False
    reminded_generation: int = -1
    peer_versions: dict = field(default_factory=dict)
    acknowledged_versions: dict = field(default_factory=dict)
    pending_announcements: deque = field(
        default_factory=lambda: deque(maxlen=MAX_PENDING_HEARTBEATS)
    )

    def assign_sequence(self, now):
        """Record a heartbeat that is sent ``now`` and return its sequence."""
        self.last_sent_sequence += 1
        self.sent_times.append((self.last_sent_sequence, now))
        return self.last_sent_sequence

    def receive(self, heartbeat, now):
        """Handle the fields of a heartbeat that concern this link alone.

        Returns
        -------
        bool
            False when the heartbeat is late, a duplicate or echoes one that was not
            sent, so that it must be dropped.
        """
        if (
            heartbeat.sequence <= self.last_received_sequence
            or heartbeat.echo > self.last_sent_sequence
        ):
            return False
        self.last_received_sequence = heartbeat.sequence
        self.last_received_at = now
        self._handle_echo(heartbeat.echo)
        if heartbeat.epoch > self.epoch:
            self.epoch = heartbeat.epoch
            self.epoch_seen_at = now
            self.has_ended_older_calls = False
        self.has_ended_older_calls = (
            self.has_ended_older_calls or not heartbeat.has_excess
        )
        self.may_have_excess = heartbeat.has_excess
        self.is_leaving = self.is_leaving or heartbeat.leaving
        self.is_released = self.is_released or heartbeat.released
        return True

    def list_versions_to_announce(self, versions):
        """Return pairs of name and version that heartbeats must still announce.

        A version is announced until the peer is known to hold it and to know that
        this node does, because the reply to a single announcement may be lost.
        """
        return tuple(
            (name, version)
            for name, version in versions
            if self.peer_versions.get(name, 0) < version
            or self.acknowledged_versions.get(name, 0) < version
        )

    def needs_reminder(self, documents):
        """Return whether to send an early heartbeat because the peer lacks documents.

        It is True at most once for each generation of the documents, so that two
        nodes that lack documents of each other do not trigger an endless exchange.
        """
        if self.reminded_generation == documents.generation:
            return False
        self.reminded_generation = documents.generation
        return any(
            self.peer_versions.get(name, 0) < version
            for name, version in documents.versions()
        )

    def as_member(self):
        """Return the peer as a `Member`."""
        return Member(self.node, self.address, self.incarnation)

    def _handle_echo(self, echo):
        self.last_echoed_sequence = max(self.last_echoed_sequence, echo)
        while self.sent_times and self.sent_times[0][0] <= echo:
            self.lease_start = self.sent_times.popleft()[1]
        while self.pending_announcements and self.pending_announcements[0][0] <= echo:
            self.acknowledged_versions.update(self.pending_announcements.popleft()[1])

    def record_versions(self, versions):
        """Record document versions that the peer holds."""
        for name, version in versions:
            is_known = name in self.peer_versions
            if not is_known and len(self.peer_versions) >= MAX_DOCUMENTS:
                continue
            if version > self.peer_versions.get(name, 0):
                self.peer_versions[name] = version


class Links:
    """Links to every known incarnation of every peer."""

    def __init__(self, incarnation):
        self._own_incarnation = incarnation
        self._links = {}
        self._by_hash = {}
        self._outbound = {}

    def open(self, node, incarnation, data_centre, address, now):
        """Return the `Link` of an incarnation of a peer, creating it if necessary."""
        link = self._links.get(incarnation)
        if link is None:
            link = Link(
                node,
                incarnation,
                data_centre,
                address,
                compute_link_hash(incarnation, self._own_incarnation),
                compute_link_hash(self._own_incarnation, incarnation),
                opened_at=now,
            )
            self._links[incarnation] = link
            self._by_hash[link.inbound_hash] = link
        link.address = link.address or address
        return link

    def get(self, incarnation):
        """Return the `Link` of an incarnation, or None."""
        return self._links.get(incarnation)

    def find_by_hash(self, node, link_hash):
        """Return the `Link` that a heartbeat from ``node`` belongs to, or None."""
        link = self._by_hash.get(link_hash)
        if link is None or link.node != node:
            return None
        return link

    def mark_connected(self, link):
        """Use a link for messages to its peer from now on."""
        self._outbound[link.node] = link

    def mark_disconnected(self, node):
        """Stop sending to a peer until it is connected again."""
        self._outbound.pop(node, None)

    def get_connected(self, node):
        """Return the `Link` to which messages for ``node`` go, or None."""
        return self._outbound.get(node)

    def list_all(self):
        """Return every link."""
        return list(self._links.values())

    def list_connected(self):
        """Return the links to which this node can send."""
        return list(self._outbound.values())

    def prune(self, needed, now, idle_s):
        """Remove links that are not in ``needed``, not connected and idle too long.

        ``idle_s`` is the longest time in seconds without a heartbeat.
        """
        connected = {link.incarnation for link in self._outbound.values()}
        for link in list(self._links.values()):
            is_needed = link.incarnation in needed or link.incarnation in connected
            if (
                not is_needed
                and now - max(link.last_received_at, link.opened_at) > idle_s
            ):
                del self._links[link.incarnation]
                del self._by_hash[link.inbound_hash]
