"""A node that sends each leg itself: its parts, its start and its planned stop."""

import random
import signal
from dataclasses import dataclass

from heatherpick._fleet.copies import SharedCopy, StoreFailure
from heatherpick._fleet.freshness import Freshness
from heatherpick._fleet.nodes import NodeEntry
from heatherpick._fleet.relays import RelayPlan
from heatherpick._net.dialect import Dialect
from heatherpick._net.documents import DocumentKeeper
from heatherpick._net.gateway import Gateway
from heatherpick._net.peers import HttpPeers
from heatherpick._net.probes import PageServer
from heatherpick._net.searches import SearchServer
from heatherpick._serving.directory import Directory
from heatherpick._serving.reach import Reach
from heatherpick._serving.requests import RequestReducer
from heatherpick.errors import SettingsError

__all__ = ["DirectNode", "DocumentKinds"]

#: Time for which a stopping node still takes new connections, in seconds: the balancer
#: needs two misses of a check that it makes each second.
ACCEPT_AFTER_STOP_S = 2.6
#: Part of the grace period after which a stopping node ends in any case.
STOP_DEADLINE_SHARE = 0.93
#: First and longest pause before this node's entry is written again after a failure, in
#: seconds; each further failure doubles it.
REGISTER_BACKOFF_S = 1.0
MAX_REGISTER_BACKOFF_S = 16.0
#: Pause between two looks at the settings, which may change without a signal, in
#: seconds.
SETTINGS_POLL_S = 5.0
#: Pause between two looks at what a stopping node has left, in seconds.
STOP_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class DocumentKinds:
    """Where the store keeps what a node reads, and how it is decoded.

    Parameters
    ----------
    routes, upstreams, drains, nodes : str
        Kinds of objects; the last is of the nodes' own.
    routes_name : str
        Name of the one object that holds the routes.
    decode_snapshot : callable
        Turns its value into a `Snapshot`; raises KeyError, TypeError or ValueError.
    decode_upstream : callable
        Turns the name and value of an entry into an `UpstreamEntry` or None.
    """

    routes: str
    upstreams: str
    drains: str
    nodes: str
    routes_name: str
    decode_snapshot: object
    decode_upstream: object


class _RoutesConsumer:
    """Takes in the declarations."""

    def __init__(self, reducer, kinds, report):
        self._reducer = reducer
        self._kinds = kinds
        self._report = report

    def replace(self, objects):
        self.change(objects)

    def change(self, objects):
        for each in objects:
            if each.name == self._kinds.routes_name and not each.is_deleted:
                self._adopt(each.value)

    def _adopt(self, value):
        try:
            snapshot = self._kinds.decode_snapshot(value)
        except (KeyError, TypeError, ValueError) as error:
            self._report("routes not understood; the present ones hold", error=error)
            return
        if self._reducer.adopt(snapshot):
            n_routes = sum(len(routes) for routes in snapshot.routes.values())
            self._report("routes adopted", version=snapshot.version, n_routes=n_routes)


class _UpstreamsConsumer:
    """Takes in the list of upstreams."""

    def __init__(self, directory, kinds, report, clock):
        #: Tells whether the store was away a short while ago.
        self.was_store_unreachable = lambda: False
        self._directory = directory
        self._kinds = kinds
        self._report = report
        self._clock = clock
        self._invalid_names = set()

    def replace(self, objects):
        entries = [self._decode(each) for each in objects if not each.is_deleted]
        entries = [entry for entry in entries if entry is not None]
        self._directory.replace(entries, self._clock())
        self._report("upstreams listed", n_upstreams=len(entries))

    def change(self, objects):
        now = self._clock()
        n_deleted = sum(each.is_deleted for each in objects)
        may_have_lapsed = self.was_store_unreachable() or self._directory.is_mass(
            n_deleted
        )
        for each in objects:
            entry = None if each.is_deleted else self._decode(each)
            if entry is None:
                self._directory.remove(each.name, now, may_have_lapsed)
                state = "gone"
            else:
                self._directory.put(entry, now)
                state = "draining" if entry.is_draining else "ready"
            self._report("upstream changed", upstream=each.name, state=state)

    def _decode(self, each):
        entry = self._kinds.decode_upstream(each.name, each.value)
        if entry is None and each.name not in self._invalid_names:
            self._invalid_names.add(each.name)
            self._report("upstream entry not understood", upstream=each.name)
        return entry


class _DrainsConsumer:
    """Takes in the data centres that are to get no requests."""

    def __init__(self, directory, report):
        self._directory = directory
        self._report = report
        self._names = set()
        self.is_known = False

    def replace(self, objects):
        self.is_known = True
        self._names = {each.name for each in objects if not each.is_deleted}
        self._apply()

    def change(self, objects):
        for each in objects:
            if each.is_deleted:
                self._names.discard(each.name)
            else:
                self._names.add(each.name)
        self._apply()

    def _apply(self):
        self._directory.drain_data_centres(self._names)
        self._report("data centres drained", names=sorted(self._names))


class _NodesConsumer:
    """Takes in where the nodes are."""

    def __init__(self, plan, reducer, report):
        #: Called once the list is known, with the entries by name.
        self.on_listed = lambda nodes: None
        self._plan = plan
        self._reducer = reducer
        self._report = report
        self._nodes = {}

    def replace(self, objects):
        self.change(objects)
        self.on_listed(self._nodes)

    def change(self, objects):
        for each in objects:
            node = None if each.is_deleted else NodeEntry.from_value(each.value)
            if node is None:
                self._nodes.pop(each.name, None)
            else:
                self._nodes[each.name] = node
            self._plan.set_member(each.name, node)
        self._reducer.know_nodes(tuple(self._nodes.values()))
        self._report("nodes listed", n_nodes=self._plan.n_nodes)


class DirectNode:
    """One process of an entry VM.

    Parameters
    ----------
    settings : object
        Has ``node``, ``data_centre``, ``callers_address``, ``readiness_address``,
        ``metrics_address``, ``peers_address``, ``search_address``, ``link_mbps``,
        ``seeds``, ``extra_share``, ``extra_slack``, ``news_s`` and ``stop_grace_s``.
    loop : EventLoop
        Runs everything.
    store : SharedStore
        Where declarations and upstreams are listed.
    kinds : DocumentKinds
        What to read there.
    log, counters : LineLog, Counters
        Take reports and counts.
    seed : int
        Seed of every random choice.
    read_settings : callable
        Gives the settings as they are now; raises SettingsError.
    dialect : Dialect, optional
        Names of headers.
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
        dialect=Dialect(),  # noqa: B008  Frozen, so that sharing it is safe.
        readiness_path=b"/ready",
    ):
        self._settings = settings
        self._read_settings = read_settings
        self._loop = loop
        self._log = log
        self._counters = counters
        self._rng = rng = random.Random(seed)
        self._directory = Directory(settings.data_centre)
        self._isolation = Reach(loop.seconds())
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
            dialect,
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
        plan = RelayPlan(
            _format_address(address),
            settings.data_centre,
            settings.seeds,
            freshness.alone_s,
            loop.seconds(),
            rng,
        )
        nodes = consumers[kinds.nodes] = _NodesConsumer(plan, self._reducer, log.report)
        nodes.on_listed = self._register_unless_listed
        copies = [SharedCopy(kind, consumer) for kind, consumer in consumers.items()]
        self._keeper = DocumentKeeper(
            loop,
            store,
            HttpPeers(loop),
            copies,
            plan,
            freshness,
            log.report,
            rng,
            _format_address(address),
        )
        upstreams.was_store_unreachable = self._keeper.was_store_away
        self._keeper.heard_store = self._isolation.note_contact
        self._readiness_path = readiness_path
        self._stop_started_at = None
        self._was_isolated = False

    @property
    def is_ready(self):
        """Whether the balancer should send new connections here."""
        return (
            self._stop_started_at is None
            and not self._check_isolation()
            and self._reducer.snapshot is not None
            and self._directory.is_known
            and self._drains.is_known
        )

    def _check_isolation(self):
        is_isolated = self._isolation.is_cut_off(self._loop.seconds())
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            self._log.report("cut off" if is_isolated else "no longer cut off")
        return is_isolated

    def start(self):
        """Listen, follow the store, take SIGTERM."""
        settings = self._settings
        self._gateway.listen(*settings.callers_address)
        pages = {self._readiness_path: self._render_readiness}
        PageServer(self._loop, pages).listen(*settings.readiness_address)
        if settings.metrics_address is not None:
            pages = {b"/metrics": self._render_metrics}
            PageServer(self._loop, pages).listen(*settings.metrics_address)
        SearchServer(self._loop, self._gateway).listen(*settings.search_address)
        self._keeper.start(*settings.peers_address)
        self._loop.take_signal(signal.SIGTERM, self.begin_stop)
        self._loop.take_signal(signal.SIGHUP, self.reload)
        self._loop.call_later(SETTINGS_POLL_S, self._poll_settings)
        self._log.report("started", data_centre=settings.data_centre)

    def _register_unless_listed(self, nodes):
        """Write down what this node is, unless it was here before it started again."""
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
                self._log.report("not registered yet", reason=failure.reason)
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
        """Read the settings again and use what may change while the node runs."""
        try:
            settings = self._read_settings()
        except SettingsError as error:
            self._log.report(
                "settings not reloaded; the present ones hold", error=error
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
        self._reducer.allow_extra(settings.extra_share, settings.extra_slack)
        self._log.report("settings reloaded", changed=changed)

    def _poll_settings(self):
        self._loop.call_later(SETTINGS_POLL_S, self._poll_settings)
        self.reload()

    def begin_stop(self):
        """Say not ready, finish what was taken on, then end."""
        if self._stop_started_at is not None:
            return
        self._stop_started_at = self._loop.seconds()
        self._gateway.begin_stop()
        self._log.report("stopping", active=self._gateway.n_active_requests)
        self._loop.call_later(ACCEPT_AFTER_STOP_S, self._gateway.close_idle_connections)
        self._loop.call_later(ACCEPT_AFTER_STOP_S + STOP_POLL_S, self._poll_stop)

    def _poll_stop(self):
        elapsed_s = self._loop.seconds() - self._stop_started_at
        is_past_deadline = (
            elapsed_s >= STOP_DEADLINE_SHARE * self._settings.stop_grace_s
        )
        if is_past_deadline or not self._gateway.n_connections:
            self._gateway.stop_accepting()
            self._log.report("stopped", active=self._gateway.n_active_requests)
            self._loop.stop()
            return
        self._gateway.close_idle_connections()
        self._loop.call_later(STOP_POLL_S, self._poll_stop)

    def _render_readiness(self):
        return (200, b"ready\n") if self.is_ready else (503, b"not ready\n")

    def _render_metrics(self):
        snapshot = self._reducer.snapshot
        gauges = {
            "requests_active": self._gateway.n_active_requests,
            "caller_connections": self._gateway.n_connections,
            "upstreams": len(self._directory),
            "routes_version": 0 if snapshot is None else snapshot.version,
            "ready": int(self.is_ready),
        }
        return 200, self._counters.format_metrics(gauges).encode()


def _format_address(address):
    host, port = address
    return f"{host}:{port}"
