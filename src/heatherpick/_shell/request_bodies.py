"""HTTP requests whose body is held in memory, and only up to a limit."""

from io import BytesIO

from twisted.web.server import Request

__all__ = ["SizeLimitedRequest"]

#: Bytes of an oversize body that are read and dropped, so that the caller can read
#: the refusal before its connection is closed.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
_REFUSAL = b'{"error":"body: too large"}'
_TOO_LARGE = (
    b"HTTP/1.1 413 Content Too Large\r\nContent-Type: application/json\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n%s" % (len(_REFUSAL), _REFUSAL)
)


class SizeLimitedRequest(Request):
    """A request that refuses an oversize body as soon as it shows.

    Parameters
    ----------
    *args : tuple
        Parameters of twisted's request.
    max_body_bytes : int
        Largest accepted body, in bytes.
    """

    def __init__(self, *args, max_body_bytes, **kwargs):
        super().__init__(*args, **kwargs)
        self._max_body_bytes = max_body_bytes
        self._is_refused = False
        self._n_bytes = 0

    def gotLength(self, length):
        """Start the body; refuse it if its stated length is too large."""
        # The usual content file of a long body is on disk, and a VM has none.
        self.content = BytesIO()
        if length is not None and length > self._max_body_bytes:
            self._refuse()

    def handleContentChunk(self, data):
        """Keep a chunk, or drop it once the body is refused."""
        self._n_bytes += len(data)
        if self._n_bytes > self._max_body_bytes and not self._is_refused:
            self._refuse()
        if not self._is_refused:
            self.content.write(data)
        elif self._n_bytes > self._max_body_bytes + MAX_DISCARDED_BYTES:
            self.channel.transport.abortConnection()

    def process(self):
        """Serve the request, unless it is refused already."""
        if self._is_refused:
            self.channel.loseConnection()
            return
        super().process()

    def _refuse(self):
        self._is_refused = True
        self.content = BytesIO()
        self.channel.transport.write(_TOO_LARGE)
