"""A node that sends each leg itself: its components, its start and its planned stop."""

import random
import signal
from dataclasses import dataclass

from heatherpick._fleet.copies import LocalCopy, StoreFailure
from heatherpick._fleet.freshness import Freshness
from heatherpick._fleet.nodes import NodeEntry
from heatherpick._fleet.relays import RelayPolicy
from heatherpick._net.documents import ObjectSynchroniser
from heatherpick._net.gateway import Gateway
from heatherpick._net.header_names import HeaderNames
from heatherpick._net.peers import HttpPeerTransport
from heatherpick._net.probes import EndpointServer
from heatherpick._net.searches import SearchServer
from heatherpick._serving.directory import Directory
from heatherpick._serving.reach import IsolationDetector
from heatherpick._serving.requests import RequestReducer
from heatherpick.errors import SettingsError

__all__ = ["DirectNode", "DocumentKinds"]

#: Time for which a stopping node still accepts connections, in seconds. The balancer
#: checks readiness each second and needs two failed checks.
ACCEPT_AFTER_STOP_S = 2.6
#: Part of the grace period after which a stopping node answers every request that is
#: still open, and part after which it exits in any case.
ANSWER_DEADLINE_SHARE = 0.93
EXIT_DEADLINE_SHARE = 0.97
#: First and longest backoff before this node's entry is written again after a failure,
#: in seconds; each further failure doubles it.
REGISTER_BACKOFF_S = 1.0
MAX_REGISTER_BACKOFF_S = 16.0
#: Interval between two reads of the settings, in seconds; they may change without a
#: signal.
SETTINGS_POLL_S = 5.0
#: What decoding a value raises that does not have the expected shape.
DECODE_ERRORS = (AttributeError, KeyError, OverflowError, TypeError, ValueError)
#: Interval at which a stopping node checks whether connections are open, in seconds.
STOP_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class DocumentKinds:
    """Kinds of the objects that a node reads from the store, and their decoders.

    Parameters
    ----------
    routes, upstreams, drains, nodes : str
        Kinds of objects. Those of the kind ``nodes`` are written by the nodes.
    routes_name : str
        Name of the one object that holds the routes.
    decode_snapshot : callable
        Decodes its value to a `Snapshot`; raises one of ``DECODE_ERRORS``.
    decode_upstream : callable
        Decodes the name and value of an entry to an `UpstreamEntry`, or to None if the
        entry is invalid.
    """

    routes: str
    upstreams: str
    drains: str
    nodes: str
    routes_name: str
    decode_snapshot: object
    decode_upstream: object


class _RoutesConsumer:
    """Passes new versions of the routes to the reducer."""

    def __init__(self, reducer, kinds, report):
        self._reducer = reducer
        self._kinds = kinds
        self._report = report

    def replace(self, objects):
        self.change(objects)

    def change(self, objects):
        for stored in objects:
            if stored.name == self._kinds.routes_name and not stored.is_deleted:
                self._adopt(stored.value)

    def _adopt(self, value):
        try:
            snapshot = self._kinds.decode_snapshot(value)
        except DECODE_ERRORS as error:
            self._report(
                "cannot decode the routes; keeping the current ones", error=error
            )
            return
        if self._reducer.adopt(snapshot):
            n_routes = sum(len(routes) for routes in snapshot.routes.values())
            self._report("routes adopted", version=snapshot.version, n_routes=n_routes)


class _UpstreamsConsumer:
    """Keeps the directory of upstreams up to date."""

    def __init__(self, directory, kinds, report, clock):
        #: Returns whether the store was unreachable recently, so that entries may have
        #: lapsed.
        self.was_store_unreachable = lambda: False
        self._directory = directory
        self._kinds = kinds
        self._report = report
        self._clock = clock
        self._invalid_names = set()

    def replace(self, objects):
        entries = [self._decode(stored) for stored in objects if not stored.is_deleted]
        entries = [entry for entry in entries if entry is not None]
        self._directory.replace(entries, self._clock())
        self._report("upstreams listed", n_upstreams=len(entries))

    def change(self, objects):
        now = self._clock()
        n_deleted = sum(stored.is_deleted for stored in objects)
        may_have_lapsed = (
            self.was_store_unreachable() or self._directory.is_mass_removal(n_deleted)
        )
        for stored in objects:
            entry = None if stored.is_deleted else self._decode(stored)
            if stored.is_deleted:
                self._invalid_names.discard(stored.name)
            if entry is None:
                self._directory.remove(stored.name, now, may_have_lapsed)
                state = "gone"
            else:
                self._directory.put(entry, now)
                state = "draining" if entry.is_draining else "ready"
            self._report("upstream changed", upstream=stored.name, state=state)

    def _decode(self, stored):
        entry = self._kinds.decode_upstream(stored.name, stored.value)
        if entry is not None:
            self._invalid_names.discard(stored.name)
        elif stored.name not in self._invalid_names:
            self._invalid_names.add(stored.name)
            self._report("upstream entry not understood", upstream=stored.name)
        return entry


class _DrainsConsumer:
    """Tells the directory which data centres are drained and get no requests."""

    def __init__(self, directory, report):
        self._directory = directory
        self._report = report
        self._names = set()
        self.is_loaded = False

    def replace(self, objects):
        self.is_loaded = True
        self._names = {stored.name for stored in objects if not stored.is_deleted}
        self._apply()

    def change(self, objects):
        for stored in objects:
            if stored.is_deleted:
                self._names.discard(stored.name)
            else:
                self._names.add(stored.name)
        self._apply()

    def _apply(self):
        self._directory.drain_data_centres(self._names)
        self._report("data centres drained", names=sorted(self._names))


class _NodesConsumer:
    """Passes the entries of all nodes to the relay policy and the reducer."""

    def __init__(self, policy, reducer, report):
        #: Called with the entries by name when the nodes were listed.
        self.on_listed = lambda nodes: None
        self._policy = policy
        self._reducer = reducer
        self._report = report
        self._nodes = {}

    def replace(self, objects):
        self.change(objects)
        self.on_listed(self._nodes)

    def change(self, objects):
        for stored in objects:
            node = None if stored.is_deleted else NodeEntry.from_value(stored.value)
            if node is None:
                self._nodes.pop(stored.name, None)
            else:
                self._nodes[stored.name] = node
            self._policy.set_member(stored.name, node)
        self._reducer.set_nodes(tuple(self._nodes.values()))
        self._report("nodes listed", n_nodes=self._policy.n_nodes)


class DirectNode:
    """One process on an entry VM, which serves callers and sends each leg itself.

    Parameters
    ----------
    settings : object
        Has ``node``, ``data_centre``, ``callers_address``, ``readiness_address``,
        ``metrics_address``, ``peers_address``, ``search_address``, ``link_mbps``,
        ``seeds``, ``extra_share``, ``extra_slack``, ``news_s`` and ``stop_grace_s``.
    loop : EventLoop
        Runs the connections and timers.
    store : SharedStore
        Store of the routes, upstreams, drains and nodes.
    kinds : DocumentKinds
        Kinds of the objects in the store.
    log, counters : LineLog, Counters
        Receive log lines and counts.
    seed : int
        Seed of every random choice.
    read_settings : callable
        Returns the current settings; raises SettingsError.
    header_names : HeaderNames, optional
        Names of the HTTP headers.
    readiness_path : bytes, default=b"/ready"
        Path of the readiness check.
    """

    def __init__(
        self,
        settings,
        loop,
        store,
        kinds,
        log,
        counters,
        seed,
        read_settings,
        header_names=HeaderNames(),  # noqa: B008  Frozen, so that sharing it is safe.
        readiness_path=b"/ready",
    ):
        self._settings = settings
        self._read_settings = read_settings
        self._loop = loop
        self._log = log
        self._counters = counters
        self._rng = rng = random.Random(seed)
        self._directory = Directory(settings.data_centre)
        self._isolation = IsolationDetector(loop.seconds())
        self._reducer = RequestReducer(
            self._directory,
            settings.extra_share,
            settings.extra_slack,
            _format_address(settings.peers_address),
            self._isolation,
            rng,
        )
        self._gateway = Gateway(
            loop,
            self._reducer,
            self._directory,
            header_names,
            self._isolation,
            log,
            counters,
        )
        self._drains = _DrainsConsumer(self._directory, log.report)
        upstreams = _UpstreamsConsumer(self._directory, kinds, log.report, loop.seconds)
        consumers = {
            kinds.routes: _RoutesConsumer(self._reducer, kinds, log.report),
            kinds.upstreams: upstreams,
            kinds.drains: self._drains,
        }
        self._kinds = kinds
        self._store = store
        address = settings.peers_address
        freshness = Freshness(settings.news_s)
        policy = RelayPolicy(
            _format_address(address),
            settings.data_centre,
            settings.seeds,
            freshness.stale_after_s,
            loop.seconds(),
            rng,
        )
        nodes = consumers[kinds.nodes] = _NodesConsumer(
            policy, self._reducer, log.report
        )
        nodes.on_listed = self._register_unless_listed
        copies = [LocalCopy(kind, consumer) for kind, consumer in consumers.items()]
        self._synchroniser = ObjectSynchroniser(
            loop,
            store,
            HttpPeerTransport(loop),
            copies,
            policy,
            freshness,
            log.report,
            rng,
            _format_address(address),
        )
        upstreams.was_store_unreachable = self._synchroniser.was_store_unreachable
        self._synchroniser.on_store_contact = self._isolation.record_contact
        self._readiness_path = readiness_path
        self._stop_started_at = None
        self._exit_by = None
        self._was_isolated = False

    @property
    def is_ready(self):
        """Whether the balancer should send new connections here."""
        return (
            self._stop_started_at is None
            and not self._check_isolation()
            and self._reducer.snapshot is not None
            and self._directory.is_loaded
            and self._drains.is_loaded
        )

    def _check_isolation(self):
        is_isolated = self._isolation.is_isolated(self._loop.seconds())
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            self._log.report("isolated" if is_isolated else "no longer isolated")
        return is_isolated

    def start(self):
        """Listen, follow the store, and handle SIGTERM and SIGHUP."""
        settings = self._settings
        self._gateway.listen(*settings.callers_address)
        endpoints = {self._readiness_path: self._render_readiness}
        EndpointServer(self._loop, endpoints).listen(*settings.readiness_address)
        if settings.metrics_address is not None:
            endpoints = {b"/metrics": self._render_metrics}
            EndpointServer(self._loop, endpoints).listen(*settings.metrics_address)
        SearchServer(self._loop, self._gateway).listen(*settings.search_address)
        self._synchroniser.start(*settings.peers_address)
        self._loop.add_signal_handler(signal.SIGTERM, self.begin_stop)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._loop.call_later(SETTINGS_POLL_S, self._poll_settings)
        self._log.report("started", data_centre=settings.data_centre)

    def _register_unless_listed(self, nodes):
        """Write this node's entry, unless the list has an equal one from before."""
        settings = self._settings
        entry = NodeEntry(
            _format_address(settings.peers_address),
            _format_address(settings.search_address),
            settings.data_centre,
            settings.link_mbps,
        )
        if nodes.get(settings.node) != entry:
            self._register(entry, REGISTER_BACKOFF_S)

    def _register(self, entry, backoff_s):
        def handle_result(failure):
            if type(failure) is StoreFailure:
                self._log.report(
                    "cannot register the node; retrying", reason=failure.reason
                )
                next_backoff_s = min(MAX_REGISTER_BACKOFF_S, 2.0 * backoff_s)
                self._loop.call_later(
                    backoff_s * (0.5 + self._rng.random()),
                    self._register,
                    entry,
                    next_backoff_s,
                )

        self._store.put_object(
            self._kinds.nodes, self._settings.node, entry.to_value(), handle_result
        )

    def reload(self):
        """Read the settings again and apply those that may change in a running node."""
        try:
            settings = self._read_settings()
        except SettingsError as error:
            self._log.report(
                "cannot reload the settings; keeping the current ones", error=error
            )
            return
        if settings == self._settings:
            return
        changed = [
            name
            for name in self._settings.__dataclass_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._reducer.set_extra_allowance(settings.extra_share, settings.extra_slack)
        self._log.report("settings reloaded", changed=changed)

    def _poll_settings(self):
        self._loop.call_later(SETTINGS_POLL_S, self._poll_settings)
        self.reload()

    def begin_stop(self):
        """Report not ready, finish the accepted requests, then stop the loop.

        Callers may come until the node exits, as the balancer uses nodes that are not
        ready where it has too few others. A request that is likely to finish in time is
        served, any other is refused as not run.
        """
        if self._stop_started_at is not None:
            return
        now = self._stop_started_at = self._loop.seconds()
        grace_s = self._settings.stop_grace_s
        answer_by = now + ANSWER_DEADLINE_SHARE * grace_s
        self._exit_by = now + EXIT_DEADLINE_SHARE * grace_s
        self._gateway.begin_stop(answer_by)
        self._log.report("stopping", active=self._gateway.n_active_connections)
        self._loop.call_later(ACCEPT_AFTER_STOP_S, self._gateway.close_idle_connections)
        self._loop.call_later(ACCEPT_AFTER_STOP_S + STOP_POLL_S, self._poll_stop)
        self._loop.call_at(answer_by, self._gateway.end_serving)

    def _poll_stop(self):
        is_past_deadline = self._loop.seconds() >= self._exit_by
        if is_past_deadline or not self._gateway.n_connections:
            self._gateway.stop_accepting()
            self._log.report("stopped", active=self._gateway.n_active_connections)
            self._loop.stop()
            return
        self._gateway.close_idle_connections()
        self._loop.call_later(STOP_POLL_S, self._poll_stop)

    def _render_readiness(self):
        is_ready = self.is_ready
        self._isolation.record_check(is_ready)
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _render_metrics(self):
        snapshot = self._reducer.snapshot
        gauges = {
            "requests_active": self._gateway.n_active_connections,
            "caller_connections": self._gateway.n_connections,
            "upstreams": len(self._directory),
            "routes_version": 0 if snapshot is None else snapshot.version,
            "ready": int(self.is_ready),
        }
        return 200, self._counters.format_metrics(gauges).encode()


def _format_address(address):
    host, port = address
    return f"{host}:{port}"
