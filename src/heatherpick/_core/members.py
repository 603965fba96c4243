"""Membership of a data centre: heartbeats, owners of groups, and joining."""

import xxhash

from heatherpick._core.connections import Connections
from heatherpick._core.effects import SetTimer
from heatherpick._core.electorate import Electorate
from heatherpick._core.heartbeats import EARLY_TIMER, HEARTBEAT_TIMER, Heartbeats
from heatherpick._core.links import Links
from heatherpick._core.membership import Member
from heatherpick._core.registrar import Registrar
from heatherpick._core.registration import PLATFORM_TIMER
from heatherpick._core.rendezvous import find_first, rank
from heatherpick._core.shares import Share
from heatherpick._core.timings import Timings

__all__ = ["Members"]

#: Timer at which a vote has finished moving or calls of before a change have ended.
VIEW_TIMER = "members:view"

#: Seconds between two looks at the calls that the shares no longer permit.
POLL_S = 0.02

#: Seconds after which an unused link is forgotten.
FORGET_S = 60.0

#: Owners that are remembered until the membership or its liveness changes.
N_OWNERS = 20_000


class Members:
    """One node's part in the membership of its data centre."""

    def __init__(self, own, data_centre, documents, timings, seeds):
        self._own = own
        self._data_centre = data_centre
        self._documents = documents
        self._timings = timings
        self._links = Links(own.incarnation)
        self._electorate = Electorate(own.incarnation, self._links, timings)
        parts = (documents, self._links, self._electorate, timings)
        self._heartbeats = Heartbeats(own, data_centre, *parts)
        self._registrar = Registrar(own, data_centre, *parts)
        self._connections = Connections(own, data_centre, documents, self._links, seeds)
        self._generation = -1
        self._versions = {}
        self._spread_generation = -1
        self._has_excess = None
        self._view_end = None
        self._owners = {}
        self._owners_key = None

    @classmethod
    def from_settings(
        cls, name, data_centre, address, incarnation, documents, timings=None, seeds=()
    ):
        """Return the membership of a node that has just started.

        Parameters
        ----------
        name, data_centre : str
            Names of this node and of its data centre.
        address : str
            ``ip:port`` at which it takes peer connections.
        incarnation : str
            Unique for each start of the process.
        documents : Documents
            Shared documents of this node.
        timings : Timings, optional
            Times of the membership; the usual ones if not given.
        seeds : sequence of tuple of (str, str)
            Names and addresses of peers to connect to before any document is known.
        """
        own = Member(name, address, incarnation)
        return cls(own, data_centre, documents, timings or Timings(), tuple(seeds))

    @property
    def is_member(self):
        """Whether this node takes part in owning upstreams."""
        return self._electorate.is_member

    def use_calls(self, has_excess):
        """Ask ``has_excess`` which calls run, so that votes move without delay.

        Without it a vote moves only after the longest time that a call may take.

        Parameters
        ----------
        has_excess : callable
            Takes the time and returns whether any upstream has more calls running
            from this node than `share_of` permits of its warm slots.
        """
        self._has_excess = has_excess

    def start(self, now):
        """Return the first effects: connections, a read, a watch and a timer."""
        effects = self._registrar.start(now)
        effects.append(SetTimer(HEARTBEAT_TIMER, 0.0))
        return self._conclude(effects, now)

    def hello(self, event, now):
        """Handle a peer's connection to this node."""
        if event.node == self._own.node:
            return []
        self._open_link(event, event.address, now)
        self._connections.accept(event.node, event.address)
        return self._conclude(self._connections.open(), now)

    def connected(self, event, now):
        """Handle this node's connection to a peer."""
        if event.node == self._own.node:
            return []
        address = self._connections.address_of(event.node)
        self._links.connect(self._open_link(event, address, now))
        return self._conclude(self._heartbeats.owe([event.node]), now)

    def lost(self, event, now):
        """Handle the loss of a connection to or from a peer."""
        if event.inbound:
            self._connections.forget(event.node)
        else:
            self._links.disconnect(event.node)
        return self._conclude(self._connections.open(), now)

    def heartbeat(self, node, heartbeat, now):
        """Handle a peer's heartbeat."""
        link, effects = self._heartbeats.receive(node, heartbeat, now)
        if link is None:
            return effects
        if link.data_centre == self._data_centre:
            if self._electorate.take_heartbeat(link, heartbeat, now):
                effects += self._heartbeats.owe([node])
        if link.lacks(self._documents):
            effects += self._heartbeats.owe([node])
        return self._conclude(effects, now)

    def timer(self, name, now):
        """Handle one of this component's timers."""
        effects = []
        if name == HEARTBEAT_TIMER:
            effects = self._tick(now)
        elif name == EARLY_TIMER:
            self._refresh(now)
            effects = self._heartbeats.pay(now)
        elif name == VIEW_TIMER:
            self._view_end = None
        elif name == PLATFORM_TIMER:
            self._registrar.wake()
            effects = self._act(now)
        return self._conclude(effects, now)

    def object_read(self, event, now):
        """Handle the platform's answer to a read."""
        self._registrar.take_answer(event, now)
        return self._conclude([], now)

    def object_written(self, event, now):
        """Handle the platform's answer to a write that took effect."""
        self._registrar.take_answer(event, now)
        return self._conclude([], now)

    def object_conflict(self, event, now):
        """Handle the platform's answer to a write that came second."""
        return self._conclude(self._registrar.take_conflict(event, now), now)

    def object_failed(self, event, now):
        """Handle a platform call without an answer."""
        return self._conclude(self._registrar.take_failure(event, now), now)

    def vms(self, event, now):
        """Handle the platform's list of VMs."""
        self._registrar.take_vms(event, now)
        return self._conclude(self._act(now), now)

    def learned(self, now):
        """Act on documents that were learnt since the last event."""
        return self._conclude([], now)

    def begin_leaving(self, now):
        """Admit nothing more and let others take over."""
        self._electorate.leave(now)
        return self._conclude(self._heartbeats.owe_all(), now)

    def finish_leaving(self, now):
        """Say that nothing is sent to upstreams any more, and leave."""
        self._heartbeats.release()
        self._registrar.release()
        effects = self._heartbeats.owe_all()
        return self._conclude(effects + self._act(now), now)

    def owner_of(self, group, now):
        """Return the name of the node that legs for a group go to, "" for none."""
        self._refresh(now)
        key = (self._electorate.generation, self._documents.generation)
        if key != self._owners_key or len(self._owners) >= N_OWNERS:
            self._owners = {}
            self._owners_key = key
        owner = self._owners.get(group.name)
        if owner is None:
            owner = self._owners[group.name] = self._find_owner(group)
        return owner

    def share_of(self, group, now):
        """Return this node's `Share` of each upstream of a group."""
        self._refresh(now)
        if group.data_centre != self._data_centre:
            return Share()
        return self._electorate.share_of(group.name, now)

    def key_owner(self, service, key, now):
        """Return the node of this data centre that a request's key belongs to."""
        self._refresh(now)
        nodes = self._electorate.list_live()
        return find_first(f"{service}\n{key}", nodes) or self._own.node

    def address_of(self, node):
        """Return the ``ip:port`` at which a node takes peers, "" if unknown."""
        return self._connections.address_of(node) or self._documents.address_of(node)

    def reaches(self, node):
        """Return whether messages to a node would leave now."""
        return node == self._own.node or self._links.reach(node) is not None

    def hears_fellows(self, now):
        """Return whether every other member of this data centre has been heard."""
        return all(
            self._electorate.is_heard(each.incarnation, now)
            for each in self._electorate.membership.members
            if each.node != self._own.node
        )

    def is_isolated(self, now):
        """Return whether this node hears no other member of its data centre."""
        self._refresh(now)
        others = {each.node for each in self._electorate.membership.members}
        others.discard(self._own.node)
        return bool(others) and others.isdisjoint(self._electorate.list_live())

    def describe(self, now):
        """Return the state that an operator wants to see, as plain values."""
        is_isolated = self.is_isolated(now)
        membership = self._electorate.membership
        live = set(self._electorate.list_live())
        return {
            "node": self._own.node,
            "data_centre": self._data_centre,
            "epoch": membership.epoch,
            "is_member": self.is_member,
            "is_settled": not membership.previous,
            "members": [each.node for each in membership.members],
            "suspected": [
                each.node for each in membership.members if each.node not in live
            ],
            "ghosts": [each.node for each in membership.ghosts],
            "is_watching": self._connections.is_watching,
            "is_isolated": is_isolated,
            "cannot_have_heard": not (live - {self._own.node}),
            "documents": dict(self._documents.versions()),
        }

    def _tick(self, now):
        effects = self._act(now)
        keep = self._electorate.membership.bits.keys()
        self._links.prune(keep, now, FORGET_S)
        fellows = set(self._electorate.list_live()) - {self._own.node}
        self._heartbeats.remote = self._connections.list_remote(bool(fellows))
        return effects + self._heartbeats.send_all(now)

    def _act(self, now):
        self._refresh(now)
        return self._registrar.act(now)

    def _open_link(self, event, address, now):
        return self._links.open(
            event.node, event.incarnation, event.data_centre, address, now
        )

    def _open_fellows(self, membership, now):
        for member in membership.universe:
            if member.incarnation != self._own.incarnation:
                self._links.open(
                    member.node,
                    member.incarnation,
                    self._data_centre,
                    member.address,
                    now,
                )

    def _refresh(self, now):
        """Bring everything that a query depends on up to ``now``."""
        if self._generation != self._documents.generation:
            self._absorb(now)
        self._electorate.refresh(now)

    def _absorb(self, now):
        membership = self._documents.membership_of(self._data_centre)
        if membership.epoch != self._electorate.membership.epoch:
            self._open_fellows(membership, now)
            self._electorate.adopt(membership, now)
            self._registrar.note_membership(now)
        self._electorate.regroup(self._hash_groups(), now)
        self._generation = self._documents.generation

    def _hash_groups(self):
        groups = self._documents.declarations.groups
        lines = [
            f"{name}:{','.join(groups[name].upstreams)}"
            for name in sorted(groups)
            if groups[name].data_centre == self._data_centre
        ]
        return xxhash.xxh32_intdigest("\n".join(lines).encode()) if lines else 0

    def _conclude(self, effects, now):
        """Add what follows from a change of the documents or of the view."""
        self._refresh(now)
        effects = list(effects)
        is_learned = self._spread_generation != self._documents.generation
        if is_learned:
            self._spread_generation = self._documents.generation
            effects += self._spread()
        if is_learned or self._electorate.membership.previous:
            effects += self._registrar.act(now)
        if is_learned or self._electorate.has_changed:
            effects += self._connections.watch(self._electorate.list_live())
            effects += self._connections.open()
        if self._electorate.has_changed:
            self._electorate.has_changed = False
            effects += self._heartbeats.owe_all()
        if not self._is_over(now):
            effects += self._heartbeats.owe_misled()
        return effects + self._set_view_timer(now)

    def _is_over(self, now):
        if not self._electorate.is_over(now):
            return False
        if self._has_excess is None or self._has_excess(now):
            return True
        self._electorate.clear()
        self._refresh(now)
        return False

    def _spread(self):
        effects = []
        for name, version in self._documents.versions():
            if self._versions.get(name, 0) < version:
                effects += self._heartbeats.owe_documents(name)
        self._versions = dict(self._documents.versions())
        return effects

    def _set_view_timer(self, now):
        end = self._electorate.find_wake(now)
        if self._has_excess is not None and self._electorate.is_over(now):
            end = min(end, now + POLL_S)
        if end is None or (self._view_end is not None and self._view_end <= end):
            return []
        self._view_end = end
        return [SetTimer(VIEW_TIMER, max(0.0, end - now) * 1000)]

    def _find_owner(self, group):
        if group.data_centre == self._data_centre:
            return find_first(group.name, self._electorate.list_live())
        members = self._documents.membership_of(group.data_centre).members
        ranked = rank(group.name, [each.node for each in members])
        reachable = [node for node in ranked if self._links.reach(node) is not None]
        return (reachable or ranked or ("",))[0]
