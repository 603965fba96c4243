"""Addresses of nodes and upstreams, as other writers spell them."""

import re

__all__ = ["parse_address"]

_OCTET = "(?:0|[1-9][0-9]{0,2})"
_ADDRESS = re.compile(rf"({_OCTET}(?:\.{_OCTET}){{3}}):([1-9][0-9]{{0,4}})")
MAX_OCTET = 255
MAX_PORT = 65535


def parse_address(text):
    """Return host and port of ``ip:port``.

    Parameters
    ----------
    text : object
        The address; a value of any type, as it may come from another writer.

    Returns
    -------
    tuple of (str, int) or None
        None if it is no IPv4 address with a port that can be connected to.

    Examples
    --------
    >>> parse_address("10.0.0.1:8080")
    ('10.0.0.1', 8080)
    >>> parse_address("10.0.0.1:70000")
    """
    match = _ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        return None
    host, port = match[1], int(match[2])
    if port > MAX_PORT or any(int(octet) > MAX_OCTET for octet in host.split(".")):
        return None
    return host, port
