"""What this node knows of each start of each peer."""

import math
from collections import deque
from dataclasses import dataclass, field

import xxhash

from heatherpick._core.membership import Member

__all__ = ["Ballot", "Link", "Links"]

#: Documents of which a peer's version is remembered.
N_DOCUMENTS = 256

#: Heartbeats whose time of sending is remembered for each peer.
N_SENT = 64


def compute_link(sender, receiver):
    """Return the hash that marks heartbeats from one incarnation to another."""
    return xxhash.xxh32_intdigest(f"{sender}\n{receiver}".encode())


@dataclass(frozen=True, slots=True)
class Ballot:
    """The votes of a peer as it stated them in one heartbeat.

    ``settled`` and ``unsettled`` are bit sets over the universe of ``epoch``.
    """

    epoch: int = 0
    settled: int = 0
    unsettled: int = 0
    grouping: int = 0


@dataclass(slots=True)
class Link:
    """State of the heartbeats to and from one start of a peer.

    ``agreed`` is when the newest heartbeat that the peer echoes was sent, and
    ``ballot_agreed`` the same for the heartbeat that brought the ballot in force.
    ``stated`` is the newest ballot, which cannot be read before its epoch is known.
    ``epoch_at`` is when the peer first stated its present epoch, and ``has_moved``
    tells that no call of before that epoch can still be running there.
    """

    node: str
    incarnation: str
    data_centre: str
    address: str
    token_in: int
    token_out: int
    n_sent: int = 0
    n_received: int = 0
    echoed: int = 0
    heard: float = -math.inf
    agreed: float = -math.inf
    sent: deque = field(default_factory=lambda: deque(maxlen=N_SENT))
    opened: float = -math.inf
    epoch: int = 0
    epoch_at: float = math.inf
    has_moved: bool = False
    over: bool = True
    leaving: bool = False
    released: bool = False
    stated: Ballot = Ballot()
    ballot: Ballot = Ballot()
    ballot_agreed: float = -math.inf
    is_unread: bool = False
    urged: int = -1
    peer_versions: dict = field(default_factory=dict)
    told_versions: dict = field(default_factory=dict)
    carried: deque = field(default_factory=lambda: deque(maxlen=N_SENT))

    def stamp(self, now):
        """Return the sequence of the heartbeat that is sent ``now``."""
        self.n_sent += 1
        self.sent.append((self.n_sent, now))
        return self.n_sent

    def receive(self, heartbeat, now):
        """Take in the parts of a heartbeat that concern this link alone.

        Returns
        -------
        bool
            False when the heartbeat is late or came twice and is to be dropped.
        """
        if heartbeat.sequence <= self.n_received or heartbeat.echo > self.n_sent:
            return False
        self.n_received = heartbeat.sequence
        self.heard = now
        self._take_echo(heartbeat.echo)
        if heartbeat.epoch > self.epoch:
            self.epoch = heartbeat.epoch
            self.epoch_at = now
            self.has_moved = False
        self.has_moved = self.has_moved or not heartbeat.has_excess
        self.over = heartbeat.has_excess
        self.leaving = self.leaving or heartbeat.leaving
        self.released = self.released or heartbeat.released
        return True

    def list_untold(self, versions):
        """Return the pairs of name and version that the peer may not know of.

        A version is repeated until the peer is known to hold it and to know that
        this node does, because the answer to a single mention may be lost.
        """
        return tuple(
            (name, version)
            for name, version in versions
            if self.peer_versions.get(name, 0) < version
            or self.told_versions.get(name, 0) < version
        )

    def lacks(self, documents):
        """Return whether the peer lacks documents that it was not yet told of.

        It gives True once for each state of the documents, so that two nodes that
        lack something of each other do not urge each other on.
        """
        if self.urged == documents.generation:
            return False
        self.urged = documents.generation
        return any(
            self.peer_versions.get(name, 0) < version
            for name, version in documents.versions()
        )

    def as_member(self):
        """Return the peer as a `Member`."""
        return Member(self.node, self.address, self.incarnation)

    def _take_echo(self, echo):
        self.echoed = max(self.echoed, echo)
        while self.sent and self.sent[0][0] <= echo:
            self.agreed = self.sent.popleft()[1]
        while self.carried and self.carried[0][0] <= echo:
            self.told_versions.update(self.carried.popleft()[1])

    def note_versions(self, versions):
        """Note document versions that the peer holds."""
        for name, version in versions:
            is_known = name in self.peer_versions
            if not is_known and len(self.peer_versions) >= N_DOCUMENTS:
                continue
            if version > self.peer_versions.get(name, 0):
                self.peer_versions[name] = version


class Links:
    """Every start of every peer that this node has to do with."""

    def __init__(self, incarnation):
        self._own = incarnation
        self._links = {}
        self._by_token = {}
        self._outbound = {}

    def open(self, node, incarnation, data_centre, address, now):
        """Return the `Link` of a start of a peer, a new one if need be."""
        link = self._links.get(incarnation)
        if link is None:
            link = Link(
                node,
                incarnation,
                data_centre,
                address,
                compute_link(incarnation, self._own),
                compute_link(self._own, incarnation),
                opened=now,
            )
            self._links[incarnation] = link
            self._by_token[link.token_in] = link
        link.address = link.address or address
        return link

    def get(self, incarnation):
        """Return the `Link` of an incarnation, or None."""
        return self._links.get(incarnation)

    def find(self, node, token):
        """Return the `Link` that a heartbeat from ``node`` belongs to, or None."""
        link = self._by_token.get(token)
        if link is None or link.node != node:
            return None
        return link

    def connect(self, link):
        """Send to this start of the peer from now on."""
        self._outbound[link.node] = link

    def disconnect(self, node):
        """Send nothing to a peer until it is connected again."""
        self._outbound.pop(node, None)

    def reach(self, node):
        """Return the `Link` to which messages for ``node`` go, or None."""
        return self._outbound.get(node)

    def list_all(self):
        """Return every link."""
        return list(self._links.values())

    def list_connected(self):
        """Return the links to which this node can send."""
        return list(self._outbound.values())

    def prune(self, keep, now, after_s):
        """Forget starts that are not in ``keep``, not connected and long silent."""
        connected = {link.incarnation for link in self._outbound.values()}
        for link in list(self._links.values()):
            is_needed = link.incarnation in keep or link.incarnation in connected
            if not is_needed and now - max(link.heard, link.opened) > after_s:
                del self._links[link.incarnation]
                del self._by_token[link.token_in]
