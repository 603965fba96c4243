"""Simulated network and platform for several `Members`."""

import random
from collections import defaultdict

import orjson
from twisted.internet.task import Clock

from heatherpick._core import events
from heatherpick._core.documents import DECLARATIONS, Documents
from heatherpick._core.members import Members
from heatherpick._core.messages import DocumentReply, DocumentRequest, Heartbeat
from heatherpick._core.shares import Share
from heatherpick._core.timings import Timings
from heatherpick.declarations import (
    DeclarationSet,
    Drains,
    ShardSet,
    Upstream,
)

TIMINGS = Timings()
LIMITS = (1, 2, 3, 4)
RETRY_S = 0.3


def decode_declarations(body):
    """Decode ``{data_centre: [n_upstreams, n_group]}``."""
    upstreams, shard_sets = {}, {}
    for data_centre, (n_upstreams, n_group) in orjson.loads(body).items():
        shard_set = ShardSet(f"set-{data_centre}", 1, 1, n_group)
        shard_sets[shard_set.name] = shard_set
        for index in range(n_upstreams):
            name = f"{data_centre}-up{index}"
            upstreams[name] = Upstream(
                name, data_centre, "", "limit", shard_set.name, (0,)
            )
    return DeclarationSet(shard_sets=shard_sets, upstreams=upstreams)


def decode_drains(body):
    return Drains(frozenset(orjson.loads(body)))


class FakeNode:
    """A node, identified by its name; `start` runs a new incarnation of it."""

    def __init__(self, network, name, data_centre, seeds):
        self.network, self.name, self.data_centre = network, name, data_centre
        self.seeds = seeds
        self.n_starts = 0
        #: The clocks of nodes run at the same rate with different offsets.
        self.clock_offset = 1000.0 * len(network.nodes)
        self.is_running = self.is_paused = self.is_watching = False
        self.backlog, self.timers, self.wanted_peers = [], {}, {}
        self.counts = defaultdict(int)
        #: Latest time at which calls may run, by upstream and share.
        self.calls = defaultdict(dict)

    def start(self):
        self.n_starts += 1
        self.incarnation = f"{self.name}#{self.n_starts}"
        self.is_running, self.is_paused, self.is_watching = True, False, False
        self.backlog, self.timers, self.wanted_peers = [], {}, {}
        self.documents = Documents.from_settings(
            self.name, self.data_centre, decode_declarations, decode_drains
        )
        self.members = Members.from_settings(
            self.name,
            self.data_centre,
            f"{self.name}:1",
            self.incarnation,
            self.documents,
            TIMINGS,
            [(seed, f"{seed}:1") for seed in self.seeds if seed != self.name],
        )
        if self.network.tracks_calls:
            self.members.set_excess_check(self.has_excess)
        self.newest = {}
        self.handle(lambda now: self.members.start(now))

    def handle(self, step, in_order=False):
        """Run ``step(now)`` at once, or when a paused process is resumed.

        On a resume that shuffles the backlog, steps that are ``in_order`` keep their
        relative order.
        """
        if not self.is_running:
            return
        if self.is_paused:
            self.backlog.append((step, in_order))
            return
        self.apply_effects(step(self.now))
        self.check_versions()

    @property
    def now(self):
        return self.network.now + self.clock_offset

    def check_versions(self):
        for name, version in self.documents.versions():
            assert version >= self.newest.get(name, 0), "a document version decreased"
            self.newest[name] = version

    def apply_effects(self, effects):
        for effect in effects:
            getattr(self, f"on_{type(effect).__name__}")(effect)

    def on_Count(self, effect):
        self.counts[effect.name, effect.label] += effect.amount

    def on_SetTimer(self, effect):
        if effect.name in self.timers:
            self.timers[effect.name].cancel()
        incarnation = self.incarnation
        self.timers[effect.name] = self.network.clock.callLater(
            effect.after_ms / 1000, self.fire_timer, effect.name, incarnation
        )

    def fire_timer(self, name, incarnation):
        if incarnation != self.incarnation:
            return
        self.timers.pop(name)
        self.handle(lambda now: self.members.timer(name, now))

    def on_OpenPeer(self, effect):
        self.wanted_peers[effect.node] = effect.address
        self.network.connect(self, effect.node)

    def on_DropPeer(self, effect):
        self.wanted_peers.pop(effect.node, None)
        self.network.close_connection(self.name, effect.node)

    def on_SendPeer(self, effect):
        self.network.send(self, effect.node, effect.message)

    def on_ReadObject(self, effect):
        self.network.read(self, effect)

    def on_WriteObject(self, effect):
        self.network.write(self, effect)

    def on_SetWatch(self, effect):
        self.is_watching = effect.on
        self.network.send_all_documents(self)

    def on_ListVms(self, effect):
        self.network.list_vms(self)

    def receive(self, peer, message, now):
        if isinstance(message, Heartbeat):
            return self.members.heartbeat(peer, message, now)
        if isinstance(message, DocumentRequest):
            return self.documents.handle_request(peer, message)
        assert isinstance(message, DocumentReply)
        return self.learn(message.name, message.version, message.body, now)

    def learn(self, name, version, body, now):
        self.documents.learn(name, version, body, now)
        return self.members.documents_changed(now)

    def use_shares(self):
        """Start calls up to the full share of every upstream of this data centre."""
        if not self.is_running or self.is_paused:
            return
        now = self.now
        groups = self.documents.declarations.groups.values()
        for group in groups:
            if group.data_centre != self.data_centre:
                continue
            share = self.members.share_of(group, now)
            if share.level:
                for upstream in group.upstreams:
                    self.start_call(upstream, share, now)

    def start_call(self, upstream, share, now):
        call_s = self.network.longest_call_s
        if self.network.tracks_calls:
            call_s = self.network.random.choice([0.01, 0.1 * call_s, call_s])
        running = self.calls[upstream]
        running[share] = max(running.get(share, 0.0), now + call_s)

    def has_excess(self, now):
        groups = self.documents.declarations.group_by_upstream
        for upstream in self.calls:
            share = self.find_largest_share(upstream)
            group = groups.get(upstream)
            permitted = self.members.share_of(group, now) if group else Share()
            if share.level > permitted.level:
                return True
        return False

    def find_largest_share(self, upstream):
        """Return the largest share under which calls may still be running."""
        now = self.now
        shares = [
            share
            for share, until in self.calls.get(upstream, {}).items()
            if until > now
        ]
        return max(shares, key=lambda share: share.level, default=Share())


class FakeNetwork:
    """Nodes, the connections between them and the platform, on a simulated clock."""

    def __init__(self, data_centres, n_seeds=2, seed=0, tracks_calls=False):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.nodes, self.connections, self.cuts = {}, {}, set()
        self.objects, self.n_writes, self.n_reads = {}, 0, 0
        self.is_platform_up = True
        self.cut_from_platform = set()
        self.n_answers_to_lose = 0
        self.drop, self.duplicate, self.delay_s = 0.0, 0.0, 0.002
        self.vms = set()
        self.has_failed = False
        self.longest_call_s = TIMINGS.max_call_s
        #: Whether calls have random durations and the nodes check for excess calls.
        self.tracks_calls = tracks_calls
        names = {
            data_centre: [f"{data_centre}-n{index}" for index in range(n_nodes)]
            for data_centre, n_nodes in data_centres.items()
        }
        for data_centre, local_names in names.items():
            others = [each[0] for each in names.values()]
            for name in local_names:
                seeds = local_names[:n_seeds] + others
                self.nodes[name] = FakeNode(self, name, data_centre, seeds)
                self.vms.add(name)

    @property
    def now(self):
        return self.clock.seconds()

    def start_all(self):
        for node in self.nodes.values():
            node.start()

    def advance(self, seconds, step=0.05):
        """Advance the clock in steps and check the shares after each."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            calls = self.clock.getDelayedCalls()
            due = min((each.getTime() for each in calls), default=end)
            following = min(max(due, self.now), self.now + step, end)
            self.clock.advance(following - self.now)
            self.check()

    def check(self):
        for node in self.nodes.values():
            node.use_shares()
        users = defaultdict(dict)
        for node in self.nodes.values():
            for upstream in node.calls:
                share = node.find_largest_share(upstream)
                if share.level:
                    users[upstream][node.name] = share
        for upstream, shares in users.items():
            if len(shares) > 1:
                self.check_upstream(upstream, shares)

    def check_upstream(self, upstream, shares):
        for limit in LIMITS:
            calls = {name: share.limit(limit) for name, share in shares.items()}
            if sum(calls.values()) > limit:
                self.has_failed = True
                raise AssertionError(
                    f"{upstream} may get {calls} of {limit} at {self.now:.3f}"
                )

    def find_running(self):
        """Return the names of the running nodes, including paused ones."""
        return [each.name for each in self.nodes.values() if each.is_running]

    def find_owners(self, group):
        """Return how many of 4 calls each running node admits, if any."""
        limits = {
            node.name: node.members.share_of(group, node.now).limit(4)
            for node in self.nodes.values()
            if node.is_running and not node.is_paused
        }
        return {name: limit for name, limit in limits.items() if limit}

    # Faults

    def kill(self, name):
        node = self.nodes[name]
        node.is_running = False
        for timer in node.timers.values():
            timer.cancel()
        for source, target in list(self.connections):
            if name in (source, target):
                self.close_connection(source, target)

    def pause(self, name):
        self.nodes[name].is_paused = True

    def resume(self, name, shuffles=False):
        node = self.nodes[name]
        node.is_paused = False
        backlog, node.backlog = node.backlog, []
        if shuffles:
            ordered = iter([step for step, in_order in backlog if in_order])
            self.random.shuffle(backlog)
            backlog = [
                (next(ordered) if in_order else step, in_order)
                for step, in_order in backlog
            ]
        for step, _ in backlog:
            node.use_shares()
            node.handle(step)

    def cut(self, sources, targets):
        self.cuts |= {(a, b) for a in sources for b in targets}

    def cut_both(self, some, others):
        self.cut(some, others)
        self.cut(others, some)

    def heal(self):
        self.cuts.clear()

    def add_node(self, data_centre):
        """Start a node under a new name and return the name."""
        local_nodes = [
            each for each in self.nodes.values() if each.data_centre == data_centre
        ]
        name = f"{data_centre}-n{len(local_nodes)}"
        seeds = [each.name for each in local_nodes if each.is_running]
        self.nodes[name] = FakeNode(self, name, data_centre, seeds)
        self.vms.add(name)
        self.nodes[name].start()
        return name

    def leave(self, name):
        """Stop a node as planned; its calls end before it announces its release."""
        node = self.nodes[name]
        node.handle(node.members.begin_leaving)
        incarnation = node.incarnation

        def finish():
            if node.incarnation == incarnation:
                node.handle(node.members.finish_leaving)

        def end():
            if node.incarnation == incarnation and node.is_running:
                self.kill(name)

        self.clock.callLater(TIMINGS.max_call_s, finish)
        self.clock.callLater(TIMINGS.max_call_s + 3.0, end)

    def recover(self, names):
        """End every fault and start every named node that does not run."""
        self.heal()
        self.cut_from_platform.clear()
        self.n_answers_to_lose = 0
        self.drop, self.duplicate, self.delay_s = 0.0, 0.0, 0.002
        for name in names:
            node = self.nodes[name]
            if node.is_running and node.is_paused:
                self.resume(name)
            if not node.is_running:
                node.start()
        self.advance(TIMINGS.max_call_s + 4.0)
        for name in names:
            if not self.nodes[name].is_running:
                self.nodes[name].start()
        self.end_outage()

    def check_recovered(self, data_centre, names):
        """Check that each group has one owner and all documents are the newest."""
        newest = {name: version for name, (version, _) in self.objects.items()}
        for name in names:
            node = self.nodes[name]
            assert dict(node.documents.versions()) == newest, f"{name} is behind"
        groups = self.nodes[names[0]].documents.declarations.groups
        for group in groups.values():
            owners = self.find_owners(group)
            assert list(owners.values()) == [4], f"{group.name} is owned by {owners}"
            nodes = [self.nodes[name] for name in names]
            routes = {each.members.owner_of(group, each.now) for each in nodes}
            assert routes == set(owners), f"{group.name} is sent to {routes}"

    # Peers

    def schedule_delayed(self, function, *args):
        delay = self.delay_s * (0.5 + self.random.random())
        self.clock.callLater(delay, function, *args)

    def connect(self, node, target):
        self.schedule_delayed(self.finish_connecting, node, node.incarnation, target)

    def finish_connecting(self, node, incarnation, target):
        is_wanted = target in node.wanted_peers and node.incarnation == incarnation
        if not is_wanted or not node.is_running:
            return
        if (node.name, target) in self.connections:
            return
        peer = self.nodes.get(target)
        paths = {(node.name, target), (target, node.name)}
        if peer is None or not peer.is_running or paths & self.cuts:
            self.clock.callLater(
                RETRY_S, self.finish_connecting, node, incarnation, target
            )
            return
        self.connections[node.name, target] = (node.incarnation, peer.incarnation)
        connected = events.PeerConnected(target, peer.incarnation, peer.data_centre)
        hello = events.PeerHello(
            node.name, node.incarnation, node.data_centre, f"{node.name}:1"
        )
        node.handle(
            lambda now: node.members.peer_connected(connected, now), in_order=True
        )
        peer.handle(lambda now: peer.members.peer_hello(hello, now), in_order=True)

    def close_connection(self, source, target):
        if self.connections.pop((source, target), None) is None:
            return
        node, peer = self.nodes[source], self.nodes[target]
        lost = events.PeerLost(target)
        lost_inbound = events.PeerLost(source, inbound=True)
        node.handle(lambda now: node.members.peer_lost(lost, now), in_order=True)
        peer.handle(
            lambda now: peer.members.peer_lost(lost_inbound, now), in_order=True
        )
        if node.is_running and target in node.wanted_peers:
            self.connect(node, target)

    def send(self, node, target, message):
        connection = self.connections.get((node.name, target))
        if connection is None or connection[0] != node.incarnation:
            return
        is_cut = (node.name, target) in self.cuts
        if is_cut or self.random.random() < self.drop:
            return
        n_copies = 2 if self.random.random() < self.duplicate else 1
        for _ in range(n_copies):
            self.schedule_delayed(self.deliver, node.name, target, connection, message)

    def deliver(self, source, target, connection, message):
        peer = self.nodes[target]
        if connection[1] != peer.incarnation or (source, target) in self.cuts:
            return
        peer.handle(lambda now: peer.receive(source, message, now))

    # Platform

    def is_platform_reachable(self, node):
        return self.is_platform_up and node.name not in self.cut_from_platform

    def send_response(self, node, handler, event):
        incarnation = node.incarnation

        def deliver():
            if node.incarnation == incarnation:
                node.handle(lambda now: getattr(node.members, handler)(event, now))

        self.schedule_delayed(deliver)

    def send_failure(self, node, effect, sent):
        event = events.ObjectFailed(effect.token, effect.name, sent)
        self.send_response(node, "object_failed", event)

    def read(self, node, effect):
        self.n_reads += 1
        if not self.is_platform_reachable(node):
            self.send_failure(node, effect, False)
            return
        version, body = self.objects.get(effect.name, (0, ""))
        event = events.ObjectRead(effect.token, effect.name, version, body)
        self.send_response(node, "object_read", event)

    def write(self, node, effect):
        self.n_writes += 1
        if not self.is_platform_reachable(node):
            self.send_failure(node, effect, True)
            return
        version, body = self.objects.get(effect.name, (0, ""))
        if version != effect.expected_version:
            event = events.ObjectConflict(effect.token, effect.name, version, body)
            self.send_response(node, "object_conflict", event)
            return
        self.publish(effect.name, effect.body)
        if self.n_answers_to_lose:
            self.n_answers_to_lose -= 1
            self.send_failure(node, effect, True)
            return
        event = events.ObjectWritten(effect.token, effect.name, version + 1)
        self.send_response(node, "object_written", event)

    def publish(self, name, body):
        """Write an object unconditionally, as an operator would."""
        self.objects[name] = (self.objects.get(name, (0, ""))[0] + 1, body)
        for node in self.nodes.values():
            if node.is_running and node.is_watching:
                self.send_document(node, name)

    def declare(self, **data_centres):
        """Publish declarations: number of upstreams and group size by data centre."""
        self.publish(DECLARATIONS, orjson.dumps(data_centres).decode())

    def send_all_documents(self, node):
        for name in self.objects:
            self.send_document(node, name)

    def send_document(self, node, name):
        if not self.is_platform_reachable(node) or not node.is_watching:
            return
        version, body = self.objects[name]
        incarnation = node.incarnation

        def deliver():
            if node.incarnation == incarnation:
                node.handle(lambda now: node.learn(name, version, body, now))

        self.schedule_delayed(deliver)

    def end_outage(self):
        self.is_platform_up = True
        for node in self.nodes.values():
            if node.is_running and node.is_watching:
                self.send_all_documents(node)

    def list_vms(self, node):
        if not self.is_platform_reachable(node):
            return
        event = events.VmsListed(frozenset(self.vms), frozenset())
        self.send_response(node, "vms_listed", event)
