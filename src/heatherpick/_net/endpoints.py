"""HTTP endpoints for other processes: readiness, metrics and polls by peers."""

from heatherpick._net.callers import CallerConnection
from heatherpick._net.sockets import Listener
from heatherpick._serving.model import CallerLimits

__all__ = ["EndpointServer"]


class EndpointServer:
    """Serves a few paths over HTTP.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    endpoints : dict of bytes to callable
        Maps each path to a function that returns status and body; other paths get 404.
    begin, abandon : callable, optional
        Replace ``endpoints`` where a path is not enough: ``begin(request)`` responds to
        a request, ``abandon(request)`` is called if the client disconnects before that.
    """

    limits = CallerLimits()
    is_stopping = False

    def __init__(self, loop, endpoints, begin=None, abandon=None):
        self._loop = loop
        self._endpoints = endpoints
        self.begin = begin or self._answer_request
        self.abandon = abandon or self._ignore_abandoned

    def listen(self, host, port):
        """Serve at an address; return the address in use."""
        return Listener(self._loop, host, port, self._accept).address

    def _accept(self, sock):
        CallerConnection(self._loop, sock, self)

    def _answer_request(self, request):
        endpoint = self._endpoints.get(request.target.partition(b"?")[0])
        status, body = (404, b"") if endpoint is None else endpoint()
        request.respond(status, (), body)

    def _ignore_abandoned(self, request):
        pass

    def forget(self, connection):
        """Do nothing: closed connections are not tracked here."""
