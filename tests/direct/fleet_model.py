"""A whole fleet's keepers of documents on a paused clock, without sockets."""

import heapq
import itertools
import random

from heatherpick._fleet.copies import (
    Changes,
    Listing,
    SharedCopy,
    SharedStore,
    StoredObject,
    StoreFailure,
)
from heatherpick._fleet.freshness import Freshness
from heatherpick._fleet.nodes import NodeEntry
from heatherpick._fleet.relays import RelayPlan
from heatherpick._net.documents import DocumentKeeper
from heatherpick._net.peers import TIMEOUT, Peers

NODES_KIND = "nodes"
KINDS = ("routes", "upstreams", "drains", NODES_KIND)
#: Time from one node to another or to the store, in seconds.
WAY_S = 0.002
#: Time after which a call that gets no answer is given up, in seconds.
CALL_TIMEOUT_S = 1.0
CONNECT_S = 0.4


class Timer:
    __slots__ = ("action", "args", "is_cancelled")

    def __init__(self, action, args):
        self.action = action
        self.args = args
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


class Clock:
    """Runs what is due, in order; time passes only in `run_until`."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._numbers = itertools.count()

    def call_at(self, at, action, *args):
        timer = Timer(action, args)
        heapq.heappush(self._heap, (at, next(self._numbers), timer))
        return timer

    def run_until(self, until):
        while self._heap and self._heap[0][0] <= until:
            at, _, timer = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            if not timer.is_cancelled:
                timer.action(*timer.args)
        self.now = until


class NodeLoop:
    """The clock as one process sees it; one that is frozen acts when it wakes."""

    def __init__(self, clock):
        self._clock = clock
        self.frozen_until = 0.0
        self.has_ended = False

    def seconds(self):
        return self._clock.now

    def call_later(self, delay_s, action, *args):
        timer = Timer(action, args)
        self._clock.call_at(self._clock.now + delay_s, self._run, timer)
        return timer

    def _run(self, timer):
        if self.has_ended or timer.is_cancelled:
            return
        if self._clock.now < self.frozen_until:
            self._clock.call_at(self.frozen_until, self._run, timer)
            return
        timer.action(*timer.args)


class StoreModel:
    """The platform's store: who is served is for the test to say."""

    def __init__(self, clock):
        self.clock = clock
        self.revision = 1
        self.objects = {kind: {} for kind in KINDS}
        self.log = []
        self.calls = []
        self.watches = []
        #: ``turns_away(address)`` gives None, "refused" or "silent".
        self.turns_away = lambda address: None

    def put(self, kind, name, value):
        self.revision += 1
        self.objects[kind][name] = StoredObject(name, value)
        self.log.append((self.revision, kind, self.objects[kind][name]))
        for watch in [each for each in self.watches if each[1] == kind]:
            self.watches.remove(watch)
            address, _, since, answer = watch
            if self.turns_away(address) is None:
                answer(self.find_changes(kind, since))

    def cut_watches(self):
        """Let the watches of those that are turned away fail."""
        for watch in list(self.watches):
            what = self.turns_away(watch[0])
            if what is not None:
                self.watches.remove(watch)
            if what == "refused":
                watch[3](StoreFailure("status 503"))

    def find_changes(self, kind, since):
        objects = [each for r, k, each in self.log if r > since and k == kind]
        return Changes(tuple(objects), self.revision)

    def count_calls(self, since=0.0, until=float("inf")):
        return sum(since <= at < until for at in self.calls)

    def find_busiest(self, window_s=1.0):
        """Return the most calls in any window."""
        most = start = 0
        for end, at in enumerate(self.calls):
            while at - self.calls[start] > window_s:
                start += 1
            most = max(most, end - start + 1)
        return most


class StoreClient(SharedStore):
    def __init__(self, store, loop, address):
        self._store = store
        self._loop = loop
        self._address = address

    def list_objects(self, kind, done):
        def answer():
            objects = tuple(self._store.objects[kind].values())
            return Listing(objects, self._store.revision)

        return self._call(answer, done)

    def read_revision(self, done):
        return self._call(lambda: self._store.revision, done)

    def put_object(self, kind, name, value, done):
        def answer():
            self._store.put(kind, name, value)

        return self._call(answer, done)

    def watch_objects(self, kind, revision, done):
        def answer():
            changes = self._store.find_changes(kind, revision)
            if changes.objects:
                return changes
            entry = (self._address, kind, revision, finish)
            self._store.watches.append(entry)
            return None

        def finish(result):
            self._loop.call_later(WAY_S, deliver, result)

        def deliver(result):
            if not timer.is_cancelled:
                done(result)

        timer = Timer(None, ())
        self._call(answer, lambda result: result is not None and deliver(result))
        return timer.cancel

    def _call(self, answer, done):
        self._store.calls.append(self._loop.seconds())
        what = self._store.turns_away(self._address)
        if what == "silent":
            result = StoreFailure(TIMEOUT)
            return self._loop.call_later(CALL_TIMEOUT_S, done, result).cancel
        if what is not None:
            return self._loop.call_later(WAY_S, done, StoreFailure("503")).cancel
        return self._loop.call_later(WAY_S, lambda: done(answer())).cancel


class Answer:
    def __init__(self, headers, body):
        self.status = 200
        self.by_name = dict(headers)
        self.body = body


class Request:
    def __init__(self, target, finish):
        self.target = target
        self.respond = lambda status, headers, body: finish(Answer(headers, body))


class ModelPeers(Peers):
    """Questions between nodes of one fleet."""

    def __init__(self, fleet, node):
        self._fleet = fleet
        self._node = node

    def listen(self, host, port, begin, abandon):
        self._node.begin = begin

    def ask(self, address, target, timeout_s, done):
        self._fleet.n_questions += 1
        loop = self._node.loop
        peer = self._fleet.nodes.get(address)
        is_open = []

        def end(answer, reason):
            if not is_open:
                is_open.append(True)
                done(answer, reason)

        def finish(answer):
            if self._fleet.reaches(peer, self._node):
                loop.call_later(WAY_S, end, answer, "")

        if peer is None or peer.loop.has_ended:
            loop.call_later(WAY_S, end, None, "ECONNREFUSED")
        elif not self._fleet.reaches(self._node, peer):
            loop.call_later(CONNECT_S, end, None, "connect: timeout")
        else:
            peer.loop.call_later(WAY_S, peer.begin, Request(target, finish))
            loop.call_later(timeout_s, end, None, TIMEOUT)


class Consumer:
    def __init__(self, take):
        self.replace = self.change = take


class ModelNode:
    """One process: its keeper, and when it learned each change."""

    def __init__(self, fleet, entry, seeds, number):
        self.entry = entry
        self.loop = NodeLoop(fleet.clock)
        self.learned = {}
        self.reports = []
        rng = random.Random(f"{fleet.seed} {number}")
        freshness = Freshness(fleet.bound_s)
        self.plan = RelayPlan(
            entry.address,
            entry.data_centre,
            seeds,
            freshness.alone_s,
            fleet.clock.now,
            rng,
        )
        copies = [SharedCopy(kind, Consumer(self._take(fleet, kind))) for kind in KINDS]
        self.keeper = DocumentKeeper(
            self.loop,
            StoreClient(fleet.store, self.loop, entry.address),
            ModelPeers(fleet, self),
            copies,
            self.plan,
            freshness,
            lambda message, **fields: self.reports.append(
                (self.loop.seconds(), message)
            ),
            rng,
            entry.address,
        )
        self.keeper.start("", 0)

    def _take(self, fleet, kind):
        def take(objects):
            for each in objects:
                if kind == NODES_KIND:
                    entry = None if each.is_deleted else fleet.decode(each)
                    self.plan.set_member(each.name, entry)
                self.learned.setdefault((kind, each.name), self.now)

        return take

    @property
    def now(self):
        return self.loop.seconds()

    @property
    def is_alone(self):
        return self.plan.is_alone(self.now)


class Fleet:
    """Nodes over data centres, started at once or one by one."""

    def __init__(self, n_nodes, n_data_centres=4, bound_s=3.0, seed=1):
        self.clock = Clock()
        self.seed = seed
        self.bound_s = bound_s
        self.store = StoreModel(self.clock)
        self.nodes = {}
        self.n_questions = 0
        self._decoded = {}
        self.n_started = 0
        #: Whether a message from one data centre to another arrives.
        self.is_cut = lambda one, other: False
        self.entries = [
            NodeEntry(
                f"10.{n % n_data_centres}.0.{n}:7", "", f"dc-{n % n_data_centres}"
            )
            for n in range(n_nodes)
        ]
        self.seeds = [each.address for each in self.entries[:3]]

    def decode(self, each):
        """Decode an entry once for all nodes."""
        if each.name not in self._decoded:
            self._decoded[each.name] = NodeEntry.from_value(each.value)
        return self._decoded[each.name]

    def register_all(self):
        for entry in self.entries:
            name, value = entry.address, entry.to_value()
            self.store.objects[NODES_KIND][name] = StoredObject(name, value)

    def start(self, entry):
        known = self.nodes.get(entry.address)
        if known is not None:
            known.loop.has_ended = True
        self.n_started += 1
        self.nodes[entry.address] = ModelNode(self, entry, self.seeds, self.n_started)

    def stop(self, entry):
        self.nodes[entry.address].loop.has_ended = True

    def start_all(self, within_s=0.3):
        rng = random.Random(self.seed)
        for entry in self.entries:
            at = self.clock.now + rng.random() * within_s
            self.clock.call_at(at, self.start, entry)

    def reaches(self, one, other):
        return not self.is_cut(one.entry.data_centre, other.entry.data_centre)

    def run_for(self, seconds):
        self.clock.run_until(self.clock.now + seconds)

    @property
    def alive(self):
        return [each for each in self.nodes.values() if not each.loop.has_ended]

    @property
    def followers(self):
        return [each for each in self.alive if each.plan.follows_store]
