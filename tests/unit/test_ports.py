"""Allocation of ports for processes that tests and demonstrations start."""

import socket

from demo.processes import allocate_port


def test_ports_are_distinct_and_outside_the_ephemeral_range():
    ports = [allocate_port() for _ in range(50)]
    assert len(set(ports)) == 50
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first, last = map(int, file.read().split())
    assert not any(first <= port <= last for port in ports)


def test_port_in_use_is_skipped():
    port = allocate_port()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", port + 1))
        sock.listen()
        assert allocate_port() != port + 1
