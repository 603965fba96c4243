"""Parsing of ``ip:port`` addresses, and client endpoints for them."""

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint

from heatherpick.errors import InvalidArgument

__all__ = ["build_endpoint", "split_address"]

MAX_PORT = 65535


def split_address(address):
    """Split an address into host and port.

    Parameters
    ----------
    address : str
        ``ip:port``; an IPv6 address stands in brackets.

    Returns
    -------
    tuple of (str, int)

    Raises
    ------
    InvalidArgument
        The host is missing, or the port is not a number from 0 to 65535.

    Examples
    --------
    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    >>> split_address("[::1]:8080")
    ('::1', 8080)
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdecimal() or int(port) > MAX_PORT:
        raise InvalidArgument(f"address {address!r}: write it as ip:port")
    return host.strip("[]"), int(port)


def build_endpoint(reactor, address, connect_timeout_s):
    """Return a client endpoint for an address.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor that opens the connection.
    address : str
        ``ip:port``.
    connect_timeout_s : float
        Timeout of a connection attempt, in seconds.

    Returns
    -------
    IStreamClientEndpoint
    """
    host, port = split_address(address)
    endpoint = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
    return endpoint(reactor, host, port, timeout=connect_timeout_s)
