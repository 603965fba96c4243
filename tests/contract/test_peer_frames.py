"""Frames between nodes: what is accepted, rejected and survived."""

from struct import pack

import msgpack
import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from heatherpick._core import messages as msg
from heatherpick._core.effects import DropPeer, OpenPeer, SendPeer
from heatherpick._core.events import PeerConnected, PeerHello, PeerLost, PeerMessage
from heatherpick._shell import peer_connections as peers_module
from heatherpick._shell.codec import MAX_FRAME_BYTES, decode_message, encode_message
from heatherpick._shell.peer_connections import PeerConnections
from heatherpick.errors import FrameError
from tests.wires import Dialled, attach, make_reactor

HELLO_A = msg.Hello("a", "i1", "helsinki", "127.0.0.1:1")
HELLO_B = msg.Hello("b", "i2", "helsinki", "127.0.0.1:2")
REQUEST = msg.DocumentRequest("shared/drains")


def frame(content):
    if not isinstance(content, bytes):
        content = encode_message(content)
    return pack("!I", len(content)) + content


class Side:
    """The peers of node a on a reactor in memory."""

    def __init__(self):
        self.events = []
        self.counts = []
        self.reactor = make_reactor()
        self.peers = PeerConnections(
            self.events.append,
            HELLO_A,
            self.reactor,
            lambda name, label: self.counts.append((name, label)),
            lambda message, **fields: None,
            seed=1,
        )
        self.factory = self.peers.build_factory()

    def carry_out(self, effect):
        self.peers.effect_handlers[type(effect)](effect)

    def take(self, *contents):
        transport = attach(self.factory.buildProtocol(None))
        for content in contents:
            transport.protocol.dataReceived(frame(content))
        return transport

    def dial(self, hello=HELLO_B):
        self.carry_out(OpenPeer("b", "127.0.0.1:2"))
        transport = Dialled(self.reactor).accept()
        transport.protocol.dataReceived(frame(hello))
        return transport


BAD_CONTENTS = {
    "garbage": b"\xc1\xff\x00",
    "empty": b"",
    "truncated": encode_message(REQUEST)[:-1],
    "trailing bytes": encode_message(REQUEST) + b"\x00",
    "no array": msgpack.packb(8),
    "no tag": msgpack.packb([]),
    "text tag": msgpack.packb(["8", "x"]),
    "unknown tag": msgpack.packb([99, "x"]),
    "missing field": msgpack.packb([8]),
    "further field": msgpack.packb([8, "x", "y"]),
    "wrong type": msgpack.packb([8, 4]),
    "true for a number": msgpack.packb([9, "n", True, "x"]),
    "not a number": msgpack.packb([6, "r", "s", "k", "{}", float("nan"), ""]),
    "unknown outcome": msgpack.packb([7, "r", 9, "", ""]),
    "item of wrong type": msgpack.packb([5, "r", [1, "2"]]),
    "short pair": msgpack.packb([2, 1, 0, 0, [], False, False, [["x"]]]),
    "leg of wrong arity": msgpack.packb([4, "r", [[1, 2]]]),
    "deep nesting": b"\x91" * 100_000,
    "array of four billion": b"\xdd\xff\xff\xff\xff",
    "bad text": msgpack.packb([8, b"\xff"], use_bin_type=False),
}


@pytest.mark.parametrize("content", BAD_CONTENTS.values(), ids=BAD_CONTENTS)
def test_bad_frame_closes_only_its_own_connection(content):
    side = Side()
    good = side.take(HELLO_B)
    bad = side.take(msg.Hello("c", "i3", "espoo", "127.0.0.1:3"), content, REQUEST)
    assert bad.disconnected and not good.disconnected
    assert side.counts == [("peer_rejected", "bad frame")]
    assert side.events[-1] == PeerLost("c", inbound=True)
    good.protocol.dataReceived(frame(REQUEST))
    assert side.events[-1] == PeerMessage("b", REQUEST)


@pytest.mark.parametrize("content", BAD_CONTENTS.values(), ids=BAD_CONTENTS)
def test_bad_frame_is_a_frame_error(content):
    with pytest.raises(FrameError):
        decode_message(content)


def test_message_before_hello_is_rejected():
    side = Side()
    assert side.take(REQUEST).disconnected
    assert side.events == []


def test_second_hello_is_rejected():
    assert Side().take(HELLO_B, HELLO_B).disconnected


def test_missing_hello_is_rejected_after_a_while():
    side = Side()
    transport = side.take()
    side.reactor.advance(peers_module.HELLO_TIMEOUT_S)
    assert transport.disconnected
    assert side.counts == [("peer_rejected", "no hello")]


def test_oversize_frame_is_rejected_by_its_stated_length():
    side = Side()
    transport = side.take(HELLO_B)
    transport.protocol.dataReceived(pack("!I", MAX_FRAME_BYTES + 1))
    assert transport.disconnected
    assert side.counts == [("peer_rejected", "oversize frame")]


def test_frame_in_single_bytes_is_put_together():
    side = Side()
    transport = side.take(HELLO_B)
    for byte in frame(REQUEST):
        transport.protocol.dataReceived(bytes([byte]))
    assert side.events[-1] == PeerMessage("b", REQUEST)


def test_both_ends_say_hello_first():
    side = Side()
    assert side.take().value() == frame(HELLO_A)
    assert side.dial().value() == frame(HELLO_A)


def test_link_is_ready_only_after_the_other_hello():
    side = Side()
    side.carry_out(OpenPeer("b", "127.0.0.1:2"))
    transport = Dialled(side.reactor).accept()
    side.carry_out(SendPeer("b", REQUEST))
    assert side.events == [] and ("peer_unsent", "DocumentRequest") in side.counts
    transport.protocol.dataReceived(frame(HELLO_B))
    assert side.events == [PeerConnected("b", "i2", "helsinki")]
    transport.clear()
    side.carry_out(SendPeer("b", REQUEST))
    assert transport.value() == frame(REQUEST)


def test_link_to_another_node_than_named_is_rejected():
    side = Side()
    stranger = msg.Hello("x", "i9", "helsinki", "127.0.0.1:2")
    assert side.dial(stranger).disconnected
    assert side.events == [PeerLost("b")]


def test_message_on_a_sending_connection_is_rejected():
    side = Side()
    transport = side.dial()
    transport.protocol.dataReceived(frame(REQUEST))
    assert transport.disconnected
    assert side.events[-1] == PeerLost("b")


def test_lost_link_is_dialled_again_with_growing_pauses():
    side = Side()
    side.carry_out(OpenPeer("b", "127.0.0.1:2"))
    pauses = []
    for n_dials in range(1, 9):
        Dialled(side.reactor).refuse()
        assert side.events[-1] == PeerLost("b")
        (call,) = side.reactor.getDelayedCalls()
        pauses.append(call.getTime() - side.reactor.seconds())
        side.reactor.advance(pauses[-1])
        assert len(side.reactor.tcpClients) == n_dials + 1
    assert pauses[0] <= 2 * peers_module.BASE_RETRY_DELAY_S
    assert max(pauses) <= peers_module.MAX_RETRY_DELAY_S
    assert pauses[-1] > pauses[0]


def test_rejected_peer_is_not_dialled_without_pause():
    side = Side()
    side.carry_out(OpenPeer("b", "127.0.0.1:2"))
    stranger = msg.Hello("x", "i9", "helsinki", "127.0.0.1:2")
    for _ in range(8):
        Dialled(side.reactor).accept().protocol.dataReceived(frame(stranger))
        side.reactor.advance(peers_module.MAX_RETRY_DELAY_S)
    Dialled(side.reactor).accept().protocol.dataReceived(frame(stranger))
    side.reactor.advance(peers_module.MAX_RETRY_DELAY_S * 0.4)
    assert len(side.reactor.tcpClients) == 9


def test_dropped_peer_is_not_dialled_again():
    side = Side()
    transport = side.dial()
    side.carry_out(DropPeer("b"))
    assert transport.disconnecting
    transport.protocol.connectionLost(Failure(ConnectionLost()))
    side.reactor.advance(10)
    assert len(side.reactor.tcpClients) == 1


def test_new_connection_of_a_sender_replaces_the_old_without_loss():
    side = Side()
    old = side.take(HELLO_B)
    new = side.take(msg.Hello("b", "i4", "helsinki", "127.0.0.1:2"))
    assert old.disconnected and not new.disconnected
    assert not any(isinstance(event, PeerLost) for event in side.events)
    assert [event.incarnation for event in side.events] == ["i2", "i4"]


def test_slow_reader_is_given_up_before_memory_grows(monkeypatch):
    monkeypatch.setattr(peers_module, "MAX_BUFFERED_BYTES", 100)
    side = Side()
    transport = side.dial()
    transport.producer.pauseProducing()
    for _ in range(10):
        side.carry_out(SendPeer("b", REQUEST))
    assert transport.disconnected
    assert side.counts[0] == ("peer_rejected", "slow reader")
    assert len(transport.value()) < 200


def test_node_is_its_own_peer():
    side = Side()
    side.carry_out(OpenPeer("a", HELLO_A.address))
    side.carry_out(SendPeer("a", REQUEST))
    connected, hello, message = side.events
    assert type(connected) is PeerConnected and type(hello) is PeerHello
    assert message == PeerMessage("a", REQUEST)


def test_unusable_address_is_a_lost_peer():
    side = Side()
    side.carry_out(OpenPeer("b", "nowhere"))
    assert side.events == [PeerLost("b")]
