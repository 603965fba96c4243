"""A client: one request on a new connection or on a kept one."""

import asyncio
import time

from actors.messages import read_message

#: Idle time up to which a connection is reused: four fifths of the manifest's limit.
MAX_IDLE_S = 12.0


class Answer:
    """How a request ended.

    Parameters
    ----------
    outcome : str
        "answered", "closed" for a connection that ended without a complete answer, or
        "none" if there was no answer until the client left.
    message : Message or None
        The answer.
    sent_at, ended_at : float
        Unix times in seconds.
    """

    def __init__(self, outcome, message, sent_at, ended_at):
        self.outcome = outcome
        self.message = message
        self.sent_at = sent_at
        self.ended_at = ended_at

    @property
    def status(self):
        """Status of the answer; 0 if there was none."""
        return 0 if self.message is None else self.message.status


class Caller:
    """Keeps a connection to one node and sends one request at a time on it.

    Parameters
    ----------
    host : str
        Value of the Host header.
    """

    def __init__(self, host):
        self._host = host
        self._address = None
        self._streams = None
        self._idle_since = 0.0

    async def send(
        self, address, method, path, request_id, deadline_ms, body=b"", first_headers=()
    ):
        """Send a request, on the kept connection if it leads to ``address``.

        ``first_headers`` are sent with the first request on a connection only.
        """
        headers = []
        is_old = time.monotonic() - self._idle_since > MAX_IDLE_S
        if self._streams is None or self._address != address or is_old:
            await self.close()
            self._streams = await asyncio.wait_for(
                asyncio.open_connection(*address), 1.0
            )
            self._address = address
            headers = list(first_headers)
        reader, writer = self._streams
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}"]
        lines += [f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}"]
        lines += headers
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        sent_at = time.time()
        try:
            writer.write(data)
            await writer.drain()
            message = await asyncio.wait_for(
                read_message(reader), deadline_ms / 1000.0 + 0.5
            )
        except TimeoutError:
            await self.close()
            return Answer("none", None, sent_at, time.time())
        except (asyncio.IncompleteReadError, ConnectionError):
            message = None
        ended_at = time.time()
        if message is None:
            await self.close()
            return Answer("closed", None, sent_at, ended_at)
        self._idle_since = time.monotonic()
        if "close" in message.headers.get("connection", "").lower():
            await self.close()
        return Answer("answered", message, sent_at, ended_at)

    async def close(self):
        """Close the kept connection."""
        if self._streams is not None:
            streams, self._streams = self._streams, None
            streams[1].close()
