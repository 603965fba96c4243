"""Tests of the event loop on real descriptors."""

import select
import socket

from heatherpick._net.loop import EventLoop
from tests.direct.site import RecordedLog


def test_event_of_a_closed_descriptor_does_not_reach_its_successor():
    # Guards against a new connection that is closed for the end of an earlier one.
    log = RecordedLog()
    loop = EventLoop(log.report)
    pairs = [socket.socketpair() for _ in range(2)]
    received = []
    successors = []

    def replace_other(index):
        """Close the other socket, whose event is pending, and reuse its descriptor."""
        other = pairs[1 - index][0]
        fd = other.fileno()
        loop.unwatch(fd)
        other.close()
        successor = socket.socketpair()
        successors.append(successor)
        (sock,) = [each for each in successor if each.fileno() == fd]
        loop.watch(sock.fileno(), select.EPOLLIN, received.append)

    for index, (sock, peer) in enumerate(pairs):
        loop.watch(
            sock.fileno(),
            select.EPOLLIN | select.EPOLLRDHUP,
            lambda _events, index=index: successors or replace_other(index),
        )
        peer.close()
    loop.run_once(0.1)
    assert len(successors) == 1
    assert received == []
    assert not log
    for one, other in [*successors, *pairs]:
        one.close()
        other.close()
