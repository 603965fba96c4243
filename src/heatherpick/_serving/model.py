"""Declarations of what is served, and entries of the listed upstreams.

Operators declare routes, services and limits on callers. A gather (scatter-gather)
route sends a request to all its services and merges their parts into one answer; each
service is then a shard. Any other route sends a request to one of its services.
"""

from dataclasses import dataclass, field

__all__ = ["CallerLimits", "Route", "Service", "Snapshot", "UpstreamEntry"]


@dataclass(frozen=True, slots=True)
class Route:
    """How requests under one path prefix of a host are served.

    Parameters
    ----------
    name, host, prefix : str
        Name, host and path prefix; the prefix begins and ends with a slash.
    repeatable : bool
        Whether a request may run more than once, which allows hedges, and retries after
        it may have run. Requests of other routes are orders.
    services : tuple of str
        Names of the services that serve the route. A gather asks all of them, any other
        route one that is chosen by ``weights``.
    weights : tuple of float
        Relative weight of each of ``services``; they need not add up to 1. Empty for a
        gather.
    is_gather : bool
        Whether each service is a shard whose part is merged into the answer. Requests
        of such a route are searches.
    max_upstreams : int
        Most upstreams that may run one request, or one shard of a gather, over the life
        of the request. The first one counts.
    timeout_ms : float
        Longest time that a caller waits, in milliseconds. A caller may ask for less.
    objective_ms : float
        Latency objective of an answer, in milliseconds. A gather that has the least
        coverage returns a partial answer rather than miss it.
    priority : int
        Priority; 0 is the most urgent. It is decoded but not used.
    n_records : int, default=0
        Most records in a merged answer; 0 for a route that is not a gather.
    least_coverage : float, default=0.0
        Share of the shards, 0 to 1, that must have answered for a merged answer. With
        fewer, or none, the request is refused.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    services: tuple
    weights: tuple
    is_gather: bool
    max_upstreams: int
    timeout_ms: float
    objective_ms: float
    priority: int
    n_records: int = 0
    least_coverage: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable upstreams.

    Parameters
    ----------
    name : str
        Name.
    max_connections : int
        Connections that one upstream accepts from all callers together.
    cold_requests_per_s : float
        Requests per second that a cold upstream accepts from all nodes together; 0 if
        no limit is declared. An upstream is cold for a time that its entry states.
    """

    name: str
    max_connections: int
    cold_requests_per_s: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Parameters
    ----------
    max_header_bytes : int, default=16384
        Largest head of a request.
    max_body_bytes : int, default=262144
        Largest body of a request.
    header_timeout_s : float, default=3.0
        Longest time from the first to the last byte of a request, body included, in
        seconds. If the request begins before the previous one on the connection is
        answered, the time counts from that response.
    idle_timeout_s : float, default=15.0
        Time after which a connection without a request is closed, in seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One immutable version of the declarations that operators publish.

    Parameters
    ----------
    version : int
        Version number, which rises with each publication.
    routes : dict of str to dict of str to Route
        Routes by host, then by prefix.
    services : dict of str to Service
        Services by name.
    limits : CallerLimits, optional
        Limits on callers; the defaults if not given.
    """

    version: int
    routes: dict = field(repr=False)
    services: dict = field(repr=False)
    limits: CallerLimits = CallerLimits()

    def find_route(self, host, path):
        """Return the route with the longest prefix of ``path``, or None.

        Prefixes end with a slash, so that ``/a/`` matches ``/a/b`` but not ``/a``.

        Parameters
        ----------
        host : str
            Host in lower case, without a port.
        path : str
            Path, with or without a query string.
        """
        by_prefix = self.routes.get(host)
        if by_prefix is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """One upstream, as listed by the platform.

    Parameters
    ----------
    id : str
        Id of the upstream, which usually changes with a restart. Together with
        ``started_ms`` it identifies an instance.
    service, data_centre : str
        Names of the service that it belongs to and of the data centre it is in.
    host : str
        IP address.
    port : int
        TCP port.
    n_slots : int
        Requests that it runs concurrently.
    is_draining : bool
        Whether it accepts no new requests.
    cold_ms : float
        Time for which it remains cold, in milliseconds from the receipt of the entry.
    started_ms : int, default=0
        Start as Unix time in milliseconds, which distinguishes two starts under one id;
        0 if unknown.
    """

    id: str
    service: str
    data_centre: str
    host: str
    port: int
    n_slots: int
    is_draining: bool
    cold_ms: float
    started_ms: int = 0
