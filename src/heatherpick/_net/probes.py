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
    handle_request, handle_disconnect : callable, optional
        Replace ``endpoints`` where a path is not enough. ``handle_request(request)``
        responds to a request, and ``handle_disconnect(request)`` is called if the
        client disconnects before that.
    """

    limits = CallerLimits()
    is_stopping = False

    def __init__(self, loop, endpoints, handle_request=None, handle_disconnect=None):
        self._loop = loop
        self._endpoints = endpoints
        self.handle_request = handle_request or self._respond
        self.handle_disconnect = handle_disconnect or self._ignore_disconnect

    def listen(self, host, port):
        """Serve at an address; return the address in use."""
        return Listener(self._loop, host, port, self._accept).address

    def _accept(self, sock):
        CallerConnection(self._loop, sock, self)

    def _respond(self, request):
        endpoint = self._endpoints.get(request.target.partition(b"?")[0])
        status, body = (404, b"") if endpoint is None else endpoint()
        request.respond(status, (), body)

    def _ignore_disconnect(self, request):
        pass

    def handle_closed(self, connection):
        """Do nothing: closed connections are not tracked here."""
