"""Allocation of ports for processes that tests and demonstrations start."""

import itertools
import socket

from demo import processes
from demo.processes import allocate_port


def test_ports_are_distinct_and_outside_the_ephemeral_range():
    ports = [allocate_port() for _ in range(50)]
    assert len(set(ports)) == 50
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first, last = map(int, file.read().split())
    assert not any(first <= port <= last for port in ports)


def test_port_in_use_is_skipped(monkeypatch):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        port = sock.getsockname()[1]
        ports = itertools.chain([port], processes._PORTS)
        monkeypatch.setattr(processes, "_PORTS", ports)
        assert allocate_port() != port
