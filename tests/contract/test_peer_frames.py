"""Frames between nodes: handshake, invalid frames, reconnection and backpressure."""

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
from tests.memory_transport import OutboundConnection, connect_protocol, make_reactor

HELLO_A = msg.Hello("a", "i1", "helsinki", "127.0.0.1:1")
HELLO_B = msg.Hello("b", "i2", "helsinki", "127.0.0.1:2")
REQUEST = msg.DocumentRequest("shared/drains")


def build_frame(content):
    if not isinstance(content, bytes):
        content = encode_message(content)
    return pack("!I", len(content)) + content


class PeerHarness:
    """The peer connections of node a on an in-memory reactor."""

    def __init__(self):
        self.events = []
        self.counts = []
        self.reactor = make_reactor()
        self.connections = PeerConnections(
            self.events.append,
            HELLO_A,
            self.reactor,
            lambda name, label: self.counts.append((name, label)),
            lambda message, **fields: None,
            seed=1,
        )
        self.factory = self.connections.build_factory()

    def execute_effect(self, effect):
        self.connections.effect_handlers[type(effect)](effect)

    def accept_inbound(self, *contents):
        transport = connect_protocol(self.factory.buildProtocol(None))
        for content in contents:
            transport.protocol.dataReceived(build_frame(content))
        return transport

    def open_outbound(self, hello=HELLO_B):
        self.execute_effect(OpenPeer("b", "127.0.0.1:2"))
        transport = OutboundConnection(self.reactor).accept()
        transport.protocol.dataReceived(build_frame(hello))
        return transport


INVALID_FRAMES = {
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


@pytest.mark.parametrize("content", INVALID_FRAMES.values(), ids=INVALID_FRAMES)
def test_invalid_frame_closes_only_its_own_connection(content):
    harness = PeerHarness()
    good = harness.accept_inbound(HELLO_B)
    bad = harness.accept_inbound(
        msg.Hello("c", "i3", "espoo", "127.0.0.1:3"), content, REQUEST
    )
    assert bad.disconnected and not good.disconnected
    assert harness.counts == [("peer_rejected", "bad frame")]
    assert harness.events[-1] == PeerLost("c", inbound=True)
    good.protocol.dataReceived(build_frame(REQUEST))
    assert harness.events[-1] == PeerMessage("b", REQUEST)


@pytest.mark.parametrize("content", INVALID_FRAMES.values(), ids=INVALID_FRAMES)
def test_invalid_frame_raises_a_frame_error(content):
    with pytest.raises(FrameError):
        decode_message(content)


def test_message_before_hello_is_rejected():
    harness = PeerHarness()
    assert harness.accept_inbound(REQUEST).disconnected
    assert harness.events == []


def test_second_hello_is_rejected():
    assert PeerHarness().accept_inbound(HELLO_B, HELLO_B).disconnected


def test_missing_hello_is_rejected_after_a_timeout():
    harness = PeerHarness()
    transport = harness.accept_inbound()
    harness.reactor.advance(peers_module.HELLO_TIMEOUT_S)
    assert transport.disconnected
    assert harness.counts == [("peer_rejected", "no hello")]


def test_oversize_frame_is_rejected_by_its_length_prefix():
    harness = PeerHarness()
    transport = harness.accept_inbound(HELLO_B)
    transport.protocol.dataReceived(pack("!I", MAX_FRAME_BYTES + 1))
    assert transport.disconnected
    assert harness.counts == [("peer_rejected", "oversize frame")]


def test_frame_received_byte_by_byte_is_reassembled():
    harness = PeerHarness()
    transport = harness.accept_inbound(HELLO_B)
    for byte in build_frame(REQUEST):
        transport.protocol.dataReceived(bytes([byte]))
    assert harness.events[-1] == PeerMessage("b", REQUEST)


def test_both_sides_send_hello_first():
    harness = PeerHarness()
    assert harness.accept_inbound().value() == build_frame(HELLO_A)
    assert harness.open_outbound().value() == build_frame(HELLO_A)


def test_link_is_ready_only_after_the_peers_hello():
    harness = PeerHarness()
    harness.execute_effect(OpenPeer("b", "127.0.0.1:2"))
    transport = OutboundConnection(harness.reactor).accept()
    harness.execute_effect(SendPeer("b", REQUEST))
    assert harness.events == [] and ("peer_unsent", "DocumentRequest") in harness.counts
    transport.protocol.dataReceived(build_frame(HELLO_B))
    assert harness.events == [PeerConnected("b", "i2", "helsinki")]
    transport.clear()
    harness.execute_effect(SendPeer("b", REQUEST))
    assert transport.value() == build_frame(REQUEST)


def test_link_to_an_unexpected_node_is_rejected():
    harness = PeerHarness()
    wrong_hello = msg.Hello("x", "i9", "helsinki", "127.0.0.1:2")
    assert harness.open_outbound(wrong_hello).disconnected
    assert harness.events == [PeerLost("b")]


def test_message_on_an_outbound_connection_is_rejected():
    harness = PeerHarness()
    transport = harness.open_outbound()
    transport.protocol.dataReceived(build_frame(REQUEST))
    assert transport.disconnected
    assert harness.events[-1] == PeerLost("b")


def test_failed_link_is_dialled_again_with_backoff():
    harness = PeerHarness()
    harness.execute_effect(OpenPeer("b", "127.0.0.1:2"))
    delays_s = []
    for n_dials in range(1, 9):
        OutboundConnection(harness.reactor).refuse()
        assert harness.events[-1] == PeerLost("b")
        (call,) = harness.reactor.getDelayedCalls()
        delays_s.append(call.getTime() - harness.reactor.seconds())
        harness.reactor.advance(delays_s[-1])
        assert len(harness.reactor.tcpClients) == n_dials + 1
    assert delays_s[0] <= 2 * peers_module.BASE_RETRY_DELAY_S
    assert max(delays_s) <= peers_module.MAX_RETRY_DELAY_S
    assert delays_s[-1] > delays_s[0]


def test_rejected_peer_is_dialled_again_with_backoff():
    harness = PeerHarness()
    harness.execute_effect(OpenPeer("b", "127.0.0.1:2"))
    wrong_hello = msg.Hello("x", "i9", "helsinki", "127.0.0.1:2")
    for _ in range(8):
        OutboundConnection(harness.reactor).accept().protocol.dataReceived(
            build_frame(wrong_hello)
        )
        harness.reactor.advance(peers_module.MAX_RETRY_DELAY_S)
    OutboundConnection(harness.reactor).accept().protocol.dataReceived(
        build_frame(wrong_hello)
    )
    harness.reactor.advance(peers_module.MAX_RETRY_DELAY_S * 0.4)
    assert len(harness.reactor.tcpClients) == 9


def test_dropped_peer_is_not_dialled_again():
    harness = PeerHarness()
    transport = harness.open_outbound()
    harness.execute_effect(DropPeer("b"))
    assert transport.disconnecting
    transport.protocol.connectionLost(Failure(ConnectionLost()))
    harness.reactor.advance(10)
    assert len(harness.reactor.tcpClients) == 1


def test_new_connection_of_a_sender_replaces_the_old_without_peer_lost():
    harness = PeerHarness()
    old = harness.accept_inbound(HELLO_B)
    new = harness.accept_inbound(msg.Hello("b", "i4", "helsinki", "127.0.0.1:2"))
    assert old.disconnected and not new.disconnected
    assert not any(isinstance(event, PeerLost) for event in harness.events)
    assert [event.incarnation for event in harness.events] == ["i2", "i4"]


def test_slow_reader_is_disconnected_when_its_buffer_is_full(monkeypatch):
    monkeypatch.setattr(peers_module, "MAX_BUFFERED_BYTES", 100)
    harness = PeerHarness()
    transport = harness.open_outbound()
    transport.producer.pauseProducing()
    for _ in range(10):
        harness.execute_effect(SendPeer("b", REQUEST))
    assert transport.disconnected
    assert harness.counts[0] == ("peer_rejected", "slow reader")
    assert len(transport.value()) < 200


def test_node_is_its_own_peer():
    harness = PeerHarness()
    harness.execute_effect(OpenPeer("a", HELLO_A.address))
    harness.execute_effect(SendPeer("a", REQUEST))
    connected, hello, message = harness.events
    assert type(connected) is PeerConnected and type(hello) is PeerHello
    assert message == PeerMessage("a", REQUEST)


def test_invalid_address_is_reported_as_peer_lost():
    harness = PeerHarness()
    harness.execute_effect(OpenPeer("b", "nowhere"))
    assert harness.events == [PeerLost("b")]
