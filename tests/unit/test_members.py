"""`Members` of one node, driven by single events."""

import pytest

from heatherpick._core.documents import Documents
from heatherpick._core.effects import Count, DropPeer, OpenPeer, SendPeer
from heatherpick._core.events import PeerConnected, PeerHello, PeerLost
from heatherpick._core.links import compute_link_hash
from heatherpick._core.members import Members
from heatherpick._core.membership import Member, Membership, encode_membership
from heatherpick._core.messages import Heartbeat
from heatherpick.declarations import DeclarationSet, Drains

NAME = "shared/members/a"
OWN, PEER = Member("n", "n:1", "n#1"), Member("p", "p:1", "p#1")
INBOUND_PEER = PeerHello("c", "c#1", "b", "c:1")


class Node:
    def __init__(self):
        self.documents = Documents.from_settings(
            "n", "a", lambda body: DeclarationSet(), lambda body: Drains()
        )
        self.members = Members.from_settings("n", "a", "n:1", "n#1", self.documents)
        self.members.set_excess_check(lambda now: False)
        self.members.start(0.0)
        self.n_heartbeats = 0
        self.connect(PEER)

    def connect(self, peer):
        hello = PeerHello(peer.node, peer.incarnation, "a", peer.address)
        self.members.peer_hello(hello, 0.0)
        connected = PeerConnected(peer.node, peer.incarnation, "a")
        return self.members.peer_connected(connected, 0.0)

    def learn(self, epoch, now):
        body = encode_membership(Membership(epoch, (OWN, PEER)))
        self.documents.learn(NAME, epoch, body, now)
        return self.members.documents_changed(now)

    def receive_heartbeat(self, now, **fields):
        self.n_heartbeats += 1
        values = {
            "link": compute_link_hash("p#1", "n#1"),
            "sequence": self.n_heartbeats,
            **dict(echo=0, epoch=0, settled=b"\1", unsettled=b"", grouping=0),
            **dict(has_excess=False, leaving=False, released=False, versions=()),
        }
        return self.members.heartbeat("p", Heartbeat(**values | fields), now)

    def send_early(self, now):
        return [
            each.message
            for each in self.members.timer("members:early", now)
            if isinstance(each, SendPeer) and isinstance(each.message, Heartbeat)
        ]


@pytest.fixture
def node():
    return Node()


def test_ballot_of_unknown_epoch_is_acknowledged_once_it_can_be_applied(node):
    node.learn(4, 0.1)
    node.receive_heartbeat(0.2, epoch=5)
    assert [each.has_excess for each in node.send_early(0.3)] == [True]
    node.learn(5, 0.4)
    assert [each.has_excess for each in node.send_early(0.5)] == [False]


@pytest.mark.parametrize(
    "fields, reason",
    [
        ({"link": 7}, "link"),
        ({"sequence": 0}, "sequence"),
        ({"echo": 999}, "sequence"),
        ({"settled": bytes(1000)}, "size"),
    ],
)
def test_invalid_heartbeat_is_dropped_and_counted(node, fields, reason):
    assert node.receive_heartbeat(0.2, **fields) == [
        Count("heartbeats_dropped", reason)
    ]


def test_heartbeat_of_an_unknown_peer_is_dropped(node):
    heartbeat = Heartbeat(1, 1, 0, 0, b"", b"", 0, False, False, False, ())
    dropped = node.members.heartbeat("x", heartbeat, 0.2)
    assert dropped == [Count("heartbeats_dropped", "link")]


def test_closed_inbound_connection_does_not_stop_sending_to_the_peer(node):
    node.learn(4, 0.1)
    node.members.peer_lost(PeerLost("p", inbound=True), 0.2)
    sent = node.members.timer("members:heartbeat", 0.3)
    assert any(isinstance(each, SendPeer) for each in sent)
    node.members.peer_lost(PeerLost("p"), 0.4)
    assert not node.members.is_reachable("p")


def test_node_connects_back_to_a_peer_until_its_connection_closes(node):
    assert OpenPeer("c", "c:1") in node.members.peer_hello(INBOUND_PEER, 0.2)
    lost = node.members.peer_lost(PeerLost("c", inbound=True), 0.3)
    assert DropPeer("c") in lost


def test_status_lists_suspected_members(node):
    node.learn(4, 0.1)
    status = node.members.describe(0.2)
    assert status["members"] == ["n", "p"]
    assert status["suspected"] == ["p"]
    assert status["is_isolated"]
    assert status["cannot_have_heard"]
