"""Simulates the object synchronisers of a fleet, without sockets or real time."""

import heapq
import itertools
import random

from heatherpick._fleet.copies import (
    Changes,
    Listing,
    LocalCopy,
    SharedStore,
    StoredObject,
    StoreFailure,
)
from heatherpick._fleet.freshness import Freshness
from heatherpick._fleet.nodes import NodeEntry
from heatherpick._fleet.relays import RelayPolicy
from heatherpick._net.documents import ObjectSynchroniser
from heatherpick._net.peers import TIMEOUT_REASON, PeerTransport

NODES_KIND = "nodes"
KINDS = ("routes", "upstreams", "drains", NODES_KIND)
#: Network delay between two nodes, or a node and the store, in seconds.
NETWORK_DELAY_S = 0.002
#: Timeout of a call to the store, in seconds.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.4


class Timer:
    __slots__ = ("action", "args", "is_cancelled")

    def __init__(self, action, args):
        self.action = action
        self.args = args
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


class Clock:
    """Simulated clock: runs due timers in order and advances only in `run_until`."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._sequence = itertools.count()

    def call_at(self, at, action, *args):
        timer = Timer(action, args)
        heapq.heappush(self._heap, (at, next(self._sequence), timer))
        return timer

    def run_until(self, until):
        while self._heap and self._heap[0][0] <= until:
            at, _, timer = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            if not timer.is_cancelled:
                timer.action(*timer.args)
        self.now = until


class NodeLoop:
    """Event loop of one process; the timers of a frozen process run when it resumes."""

    def __init__(self, clock):
        self._clock = clock
        self.frozen_until = 0.0
        self.is_stopped = False

    def seconds(self):
        return self._clock.now

    def call_later(self, delay_s, action, *args):
        timer = Timer(action, args)
        self._clock.call_at(self._clock.now + delay_s, self._run, timer)
        return timer

    def _run(self, timer):
        if self.is_stopped or timer.is_cancelled:
            return
        if self._clock.now < self.frozen_until:
            self._clock.call_at(self.frozen_until, self._run, timer)
            return
        timer.action(*timer.args)


class StoreModel:
    """The platform's store; a test decides which nodes it serves."""

    def __init__(self, clock):
        self.clock = clock
        self.revision = 1
        self.objects = {kind: {} for kind in KINDS}
        self.history = []
        self.call_times = []
        self.watches = []
        #: ``find_failure(address)`` returns "refused", "silent" or None for success.
        self.find_failure = lambda address: None

    def put(self, kind, name, value):
        self.revision += 1
        self.objects[kind][name] = StoredObject(name, value)
        self.history.append((self.revision, kind, self.objects[kind][name]))
        for watch in [each for each in self.watches if each[1] == kind]:
            self.watches.remove(watch)
            address, _, since, on_done = watch
            if self.find_failure(address) is None:
                on_done(self.find_changes(kind, since))

    def fail_watches(self):
        """End the watches of nodes that are no longer served."""
        for watch in list(self.watches):
            failure = self.find_failure(watch[0])
            if failure is not None:
                self.watches.remove(watch)
            if failure == "refused":
                watch[3](StoreFailure("status 503"))

    def find_changes(self, kind, since):
        objects = [each for r, k, each in self.history if r > since and k == kind]
        return Changes(tuple(objects), self.revision)

    def count_calls(self, since=0.0, until=float("inf")):
        return sum(since <= at < until for at in self.call_times)

    def find_peak(self, window_s=1.0):
        """Return the largest number of calls in any window."""
        peak = start = 0
        for end, at in enumerate(self.call_times):
            while at - self.call_times[start] > window_s:
                start += 1
            peak = max(peak, end - start + 1)
        return peak


class StoreClient(SharedStore):
    def __init__(self, store, loop, address):
        self._store = store
        self._loop = loop
        self._address = address

    def list_objects(self, kind, on_done):
        def respond():
            objects = tuple(self._store.objects[kind].values())
            return Listing(objects, self._store.revision)

        return self._call(respond, on_done)

    def read_revision(self, on_done):
        return self._call(lambda: self._store.revision, on_done)

    def put_object(self, kind, name, value, on_done):
        def respond():
            self._store.put(kind, name, value)

        return self._call(respond, on_done)

    def watch_objects(self, kind, revision, on_done):
        def respond():
            changes = self._store.find_changes(kind, revision)
            if changes.objects:
                return changes
            watch = (self._address, kind, revision, finish)
            self._store.watches.append(watch)
            return None

        def finish(result):
            self._loop.call_later(NETWORK_DELAY_S, deliver, result)

        def deliver(result):
            if not timer.is_cancelled:
                on_done(result)

        timer = Timer(None, ())
        self._call(respond, lambda result: result is not None and deliver(result))
        return timer.cancel

    def _call(self, respond, on_done):
        self._store.call_times.append(self._loop.seconds())
        failure = self._store.find_failure(self._address)
        if failure == "silent":
            result = StoreFailure(TIMEOUT_REASON)
            return self._loop.call_later(CALL_TIMEOUT_S, on_done, result).cancel
        if failure is not None:
            return self._loop.call_later(
                NETWORK_DELAY_S, on_done, StoreFailure("503")
            ).cancel
        return self._loop.call_later(NETWORK_DELAY_S, lambda: on_done(respond())).cancel


class Response:
    def __init__(self, headers, body):
        self.status = 200
        self.by_name = dict(headers)
        self.body = body


class Request:
    def __init__(self, target, finish):
        self.target = target
        self.respond = lambda status, headers, body: finish(Response(headers, body))


class ModelPeerTransport(PeerTransport):
    """Polls between the nodes of one simulated fleet."""

    def __init__(self, fleet, node):
        self._fleet = fleet
        self._node = node

    def listen(self, host, port, handle_request, handle_disconnect):
        self._node.handle_request = handle_request

    def send_request(self, address, target, timeout_s, on_done):
        self._fleet.n_polls += 1
        loop = self._node.loop
        peer = self._fleet.nodes.get(address)
        completed = []

        def complete(response, reason):
            if not completed:
                completed.append(True)
                on_done(response, reason)

        def finish(response):
            if self._fleet.can_reach(peer, self._node):
                loop.call_later(NETWORK_DELAY_S, complete, response, "")

        if peer is None or peer.loop.is_stopped:
            loop.call_later(NETWORK_DELAY_S, complete, None, "ECONNREFUSED")
        elif not self._fleet.can_reach(self._node, peer):
            loop.call_later(CONNECT_TIMEOUT_S, complete, None, "connect: timeout")
        else:
            peer.loop.call_later(
                NETWORK_DELAY_S, peer.handle_request, Request(target, finish)
            )
            loop.call_later(timeout_s, complete, None, TIMEOUT_REASON)


class Consumer:
    def __init__(self, apply_objects):
        self.replace = self.change = apply_objects


class ModelNode:
    """One process: its synchroniser, and when it received each change."""

    def __init__(self, fleet, entry, seeds, index):
        self.entry = entry
        self.loop = NodeLoop(fleet.clock)
        self.received_at = {}
        self.reports = []
        rng = random.Random(f"{fleet.seed} {index}")
        freshness = Freshness(fleet.max_staleness_s)
        self.policy = RelayPolicy(
            entry.address,
            entry.data_centre,
            seeds,
            freshness.stale_after_s,
            fleet.clock.now,
            rng,
        )
        copies = [
            LocalCopy(kind, Consumer(self._make_callback(fleet, kind)))
            for kind in KINDS
        ]
        self.synchroniser = ObjectSynchroniser(
            self.loop,
            StoreClient(fleet.store, self.loop, entry.address),
            ModelPeerTransport(fleet, self),
            copies,
            self.policy,
            freshness,
            lambda message, **fields: self.reports.append(
                (self.loop.seconds(), message)
            ),
            rng,
            entry.address,
        )
        self.synchroniser.start("", 0)

    def _make_callback(self, fleet, kind):
        def apply_objects(objects):
            for each in objects:
                if kind == NODES_KIND:
                    entry = None if each.is_deleted else fleet.decode(each)
                    self.policy.set_member(each.name, entry)
                self.received_at.setdefault((kind, each.name), self.now)

        return apply_objects

    @property
    def now(self):
        return self.loop.seconds()

    @property
    def is_stale(self):
        return self.policy.is_stale(self.now)


class Fleet:
    """Simulated nodes in several data centres, started together or one by one."""

    def __init__(self, n_nodes, n_data_centres=4, max_staleness_s=3.0, seed=1):
        self.clock = Clock()
        self.seed = seed
        self.max_staleness_s = max_staleness_s
        self.store = StoreModel(self.clock)
        self.nodes = {}
        self.n_polls = 0
        self._decoded = {}
        self.n_started = 0
        #: Whether messages from one data centre to another are lost.
        self.is_blocked = lambda one, other: False
        self.entries = [
            NodeEntry(
                f"10.{n % n_data_centres}.{n // 250}.{n % 250}:7",
                "",
                f"dc-{n % n_data_centres}",
            )
            for n in range(n_nodes)
        ]
        self.seeds = [each.address for each in self.entries[:3]]

    def decode(self, each):
        """Decode a node entry, once for all nodes."""
        if each.name not in self._decoded:
            self._decoded[each.name] = NodeEntry.from_value(each.value)
        return self._decoded[each.name]

    def register_all(self):
        for entry in self.entries:
            name, value = entry.address, entry.to_value()
            self.store.objects[NODES_KIND][name] = StoredObject(name, value)

    def start(self, entry):
        previous = self.nodes.get(entry.address)
        if previous is not None:
            previous.loop.is_stopped = True
        self.n_started += 1
        self.nodes[entry.address] = ModelNode(self, entry, self.seeds, self.n_started)

    def stop(self, entry):
        self.nodes[entry.address].loop.is_stopped = True

    def start_all(self, within_s=0.3):
        rng = random.Random(self.seed)
        for entry in self.entries:
            at = self.clock.now + rng.random() * within_s
            self.clock.call_at(at, self.start, entry)

    def can_reach(self, one, other):
        return not self.is_blocked(one.entry.data_centre, other.entry.data_centre)

    def run_for(self, seconds):
        self.clock.run_until(self.clock.now + seconds)

    @property
    def alive(self):
        return [each for each in self.nodes.values() if not each.loop.is_stopped]

    @property
    def followers(self):
        return [each for each in self.alive if each.policy.follows_store]
