"""HTTP requests that buffer a body of limited size in memory."""

from io import BytesIO

from twisted.web.server import Request

__all__ = ["SizeLimitedRequest"]

#: Bytes of an oversize body that are read and discarded, so that the caller can read
#: the 413 response before the connection is closed.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
_ERROR_BODY = b'{"error":"body: too large"}'
_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Content Too Large\r\nContent-Type: application/json\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n%s"
    % (len(_ERROR_BODY), _ERROR_BODY)
)


class SizeLimitedRequest(Request):
    """A request that rejects an oversize body as early as possible.

    It is rejected when the Content-Length header or the bytes received so far exceed
    the limit.

    Parameters
    ----------
    *args : tuple
        Arguments of `twisted.web.server.Request`.
    max_body_bytes : int
        Maximum size of a body, in bytes.
    """

    def __init__(self, *args, max_body_bytes, **kwargs):
        super().__init__(*args, **kwargs)
        self._max_body_bytes = max_body_bytes
        self._is_rejected = False
        self._n_bytes = 0

    def gotLength(self, length):
        """Create the body buffer; reject the body if its length is too large."""
        # Twisted spools a long body to a temporary file, but the VMs have no disk.
        self.content = BytesIO()
        if length is not None and length > self._max_body_bytes:
            self._reject_body()

    def handleContentChunk(self, data):
        """Buffer a chunk, or discard it once the body is rejected."""
        self._n_bytes += len(data)
        if self._n_bytes > self._max_body_bytes and not self._is_rejected:
            self._reject_body()
        if not self._is_rejected:
            self.content.write(data)
        elif self._n_bytes > self._max_body_bytes + MAX_DISCARDED_BYTES:
            self.channel.transport.abortConnection()

    def process(self):
        """Process the request, unless its body was rejected."""
        if self._is_rejected:
            self.channel.loseConnection()
            return
        super().process()

    def _reject_body(self):
        self._is_rejected = True
        self.content = BytesIO()
        self.channel.transport.write(_TOO_LARGE_RESPONSE)
