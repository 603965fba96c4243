"""Ports that tests and demonstrations hand to processes before these listen."""

import socket

from demo.processes import take_port


def test_ports_are_told_apart_and_no_connection_gets_one():
    ports = [take_port() for _ in range(50)]
    assert len(set(ports)) == 50
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first, last = map(int, file.read().split())
    assert not any(first <= port <= last for port in ports)


def test_port_in_use_is_passed_over():
    port = take_port()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", port + 1))
        sock.listen()
        assert take_port() != port + 1
