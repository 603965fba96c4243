"""The newest version of each shared document that this node holds."""

from dataclasses import dataclass

from heatherpick._core.effects import SendPeer
from heatherpick._core.membership import (
    MEMBERSHIP_PREFIX,
    Membership,
    decode_membership,
)
from heatherpick._core.messages import DocumentReply, DocumentRequest
from heatherpick.declarations import DeclarationSet, Drains

__all__ = ["DECLARATIONS", "DRAINS", "Documents"]

#: Name of the document that holds the checked declarations.
DECLARATIONS = "shared/declarations"

#: Name of the document that lists what operators have taken out of service.
DRAINS = "shared/drains"

#: Seconds after which a request for a document without a reply may be repeated.
RETRY_S = 0.5

#: Maximum number of documents that a node keeps; bounds the memory that peers can
#: make it use.
MAX_DOCUMENTS = 256


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    version: int
    peer: str
    requested_at: float


class Documents:
    """Newest versions of the shared documents. A version is never lowered.

    Attributes
    ----------
    declarations : DeclarationSet
        Declarations in force; empty at first.
    drains : Drains
        Drains in force; none at first.
    memberships : dict of str to Membership
        Membership of each data centre that has one, by data centre.
    generation : int
        Incremented whenever a document is learnt.
    n_rejected : int
        Documents that could not be decoded.
    """

    def __init__(self, name, data_centre, decode_declarations, decode_drains):
        self.name = name
        self.data_centre = data_centre
        self.declarations = DeclarationSet()
        self.drains = Drains()
        self.memberships = {}
        self.generation = 0
        self.n_rejected = 0
        self._decode_declarations = decode_declarations
        self._decode_drains = decode_drains
        self._bodies = {}
        self._versions = ()
        self._rejected = {}
        self._pending_requests = {}

    @classmethod
    def from_settings(cls, name, data_centre, decode_declarations, decode_drains):
        """Return the documents of a node that holds none yet.

        Parameters
        ----------
        name, data_centre : str
            Names of this node and of its data centre.
        decode_declarations, decode_drains : callable
            Take a body as text and return a `DeclarationSet` or `Drains`; any
            exception means that the body is malformed.
        """
        return cls(name, data_centre, decode_declarations, decode_drains)

    def learn(self, name, version, body, now):
        """Store a document if it is newer than the one held, and return whether it was.

        A body that does not decode is counted and changes nothing else.
        """
        if version <= self.version_of(name):
            return False
        if version <= self._rejected.get(name, 0):
            return False
        if not self._may_hold(name):
            self.n_rejected += 1
            return False
        if not self._decode(name, version, body):
            self._rejected[name] = version
            self.n_rejected += 1
            return False
        self._bodies[name] = (version, body)
        self._versions = tuple(
            (each, held) for each, (held, _) in sorted(self._bodies.items())
        )
        self._pending_requests.pop(name, None)
        self.generation += 1
        return True

    def get(self, name):
        """Return the version and body of a document, ``(0, "")`` if it is unknown."""
        return self._bodies.get(name, (0, ""))

    def version_of(self, name):
        """Return the version of a document that is held, 0 for none."""
        return self.get(name)[0]

    def versions(self):
        """Return pairs of name and version of every document held, by name."""
        return self._versions

    def membership_of(self, data_centre):
        """Return the `Membership` of a data centre, an empty one if unknown."""
        return self.memberships.get(data_centre) or Membership()

    def address_of(self, node):
        """Return the ``ip:port`` at which a member accepts peers, "" if unknown."""
        for membership in self.memberships.values():
            for member in membership.members:
                if member.node == node:
                    return member.address
        return ""

    def request_newer(self, peer, versions, now):
        """Return requests for the documents of which a peer has a newer version."""
        effects = []
        for name, version in versions:
            if self._may_request(name, version, now):
                self._pending_requests[name] = _PendingRequest(version, peer, now)
                effects.append(SendPeer(peer, DocumentRequest(name)))
        return effects

    def handle_request(self, peer, request):
        """Return the reply to a peer's `DocumentRequest`, an empty list if unknown."""
        version, body = self.get(request.name)
        if version == 0:
            return []
        return [SendPeer(peer, DocumentReply(request.name, version, body))]

    def describe(self):
        """Return the versions held and the number of rejected bodies."""
        return {"versions": dict(self._versions), "n_rejected": self.n_rejected}

    def _may_hold(self, name):
        held = (self._bodies, self._rejected, self._pending_requests)
        if name in (DECLARATIONS, DRAINS) or any(name in each for each in held):
            return True
        has_room = sum(len(each) for each in held) < MAX_DOCUMENTS
        return has_room and name.startswith(MEMBERSHIP_PREFIX)

    def _may_request(self, name, version, now):
        known = max(self.version_of(name), self._rejected.get(name, 0))
        if version <= known or not self._may_hold(name):
            return False
        pending = self._pending_requests.get(name)
        return pending is None or now - pending.requested_at >= RETRY_S

    def _decode(self, name, version, body):
        # The body is untrusted: an error of any kind in its decoder must only cause
        # the document to be rejected.
        try:
            if name == DECLARATIONS:
                self.declarations = self._decode_declarations(body)
            elif name == DRAINS:
                self.drains = self._decode_drains(body)
            else:
                data_centre = name.removeprefix(MEMBERSHIP_PREFIX)
                self.memberships[data_centre] = decode_membership(version, body)
        except Exception:
            return False
        return True
