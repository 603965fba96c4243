"""HTTP/1.1 messages on asyncio streams, as little as the stand-ins need."""

import asyncio

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}
REASONS |= {421: "Misdirected Request", 503: "Service Unavailable"}
REASONS |= {500: "Internal Server Error", 504: "Gateway Timeout"}


class Message:
    """One request or response.

    Parameters
    ----------
    first : str
        Its first line.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        The body.
    """

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(reader):
    """Return the next message; None if the peer closed before its first byte.

    Raises
    ------
    asyncio.IncompleteReadError, ConnectionError
        The connection ended within a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").strip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(first, headers, await _read_chunks(reader))
    length = int(headers.get("content-length", 0))
    return Message(first, headers, await reader.readexactly(length))


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        piece = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body
        body += piece


def format_response(status, headers, body):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
