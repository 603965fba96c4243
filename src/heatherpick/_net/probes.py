"""Small pages for machines: readiness and metrics."""

from heatherpick._net.callers import CallerConnection
from heatherpick._net.sockets import Listener
from heatherpick._serving.model import CallerLimits

__all__ = ["PageServer"]


class PageServer:
    """Serves a few paths.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    pages : dict of bytes to callable
        For each path a function that returns status and body.
    begin, abandon : callable, optional
        Take a request, and one whose asker left, where ``pages`` is not enough.
    """

    limits = CallerLimits()
    is_stopping = False

    def __init__(self, loop, pages, begin=None, abandon=None):
        self._loop = loop
        self._pages = pages
        self.begin = begin or self._show_page
        self.abandon = abandon or self._forget_request

    def listen(self, host, port):
        """Serve at an address; return the one in use."""
        return Listener(self._loop, host, port, self._accept).address

    def _accept(self, sock):
        CallerConnection(self._loop, sock, self)

    def _show_page(self, request):
        page = self._pages.get(request.target.partition(b"?")[0])
        status, body = (404, b"") if page is None else page()
        request.respond(status, (), body)

    def _forget_request(self, request):
        pass

    def forget(self, connection):
        """Take note that a connection is gone."""
