"""Membership of a data centre: heartbeats, group owners, joins and departures."""

import xxhash

from heatherpick._core.connections import Connections
from heatherpick._core.effects import SetTimer
from heatherpick._core.heartbeats import EARLY_TIMER, HEARTBEAT_TIMER, Heartbeats
from heatherpick._core.links import Links
from heatherpick._core.membership import Member
from heatherpick._core.membership_store import PLATFORM_TIMER
from heatherpick._core.registrar import MembershipUpdater
from heatherpick._core.rendezvous import find_first, rank
from heatherpick._core.shares import Share
from heatherpick._core.timings import Timings
from heatherpick._core.voting import VotingState

__all__ = ["Members"]

#: Timer for the end of a vote's transfer, or of the calls that began before a change.
VIEW_TIMER = "members:view"

#: Seconds between polls for running calls that exceed the current shares.
EXCESS_POLL_S = 0.02

#: Seconds without traffic after which an unneeded link is removed.
LINK_IDLE_S = 60.0

#: Maximum number of cached owners. The cache is valid until the membership or its
#: liveness changes.
MAX_CACHED_OWNERS = 20_000


class Members:
    """Membership state of one node in its data centre."""

    def __init__(self, own, data_centre, documents, timings, seeds):
        self._own = own
        self._data_centre = data_centre
        self._documents = documents
        self._timings = timings
        self._links = Links(own.incarnation)
        self._voting = VotingState(own.incarnation, self._links, timings)
        dependencies = (documents, self._links, self._voting, timings)
        self._heartbeats = Heartbeats(own, data_centre, *dependencies)
        self._updater = MembershipUpdater(own, data_centre, *dependencies)
        self._connections = Connections(own, data_centre, documents, self._links, seeds)
        self._applied_generation = -1
        self._announced_versions = {}
        self._announced_generation = -1
        self._has_excess = None
        self._view_timer_at = None
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
            ``ip:port`` at which it accepts peer connections.
        incarnation : str
            Unique for each run of the process.
        documents : Documents
            Shared documents of this node.
        timings : Timings, optional
            Intervals and timeouts of the membership; the defaults if not given.
        seeds : sequence of tuple of (str, str)
            Names and addresses of peers to connect to before any document is known.
        """
        own = Member(name, address, incarnation)
        return cls(own, data_centre, documents, timings or Timings(), tuple(seeds))

    @property
    def is_member(self):
        """Whether this node is a member, so that it may own groups of upstreams."""
        return self._voting.is_member

    def set_excess_check(self, has_excess):
        """Set the check for calls that exceed this node's share of an upstream.

        A vote can then be transferred as soon as no call exceeds the new share.
        Without the check it is transferred after the longest time of a call.

        Parameters
        ----------
        has_excess : callable
            Takes the time in seconds and returns whether this node runs more calls to
            any upstream than `share_of` permits of its warm slots.
        """
        self._has_excess = has_excess

    def start(self, now):
        """Return the initial effects: connections, a read, a watch and a timer."""
        effects = self._updater.start(now)
        effects.append(SetTimer(HEARTBEAT_TIMER, 0.0))
        return self._add_follow_ups(effects, now)

    def peer_hello(self, event, now):
        """Handle an inbound connection from a peer."""
        if event.node == self._own.node:
            return []
        self._open_link(event, event.address, now)
        self._connections.add_inbound(event.node, event.address)
        return self._add_follow_ups(self._connections.reconcile(), now)

    def peer_connected(self, event, now):
        """Handle an established outbound connection to a peer."""
        if event.node == self._own.node:
            return []
        address = self._connections.address_of(event.node)
        self._links.mark_connected(self._open_link(event, address, now))
        return self._add_follow_ups(self._heartbeats.schedule_early([event.node]), now)

    def peer_lost(self, event, now):
        """Handle the loss of a connection to or from a peer."""
        if event.inbound:
            self._connections.remove_inbound(event.node)
        else:
            self._links.mark_disconnected(event.node)
        return self._add_follow_ups(self._connections.reconcile(), now)

    def heartbeat(self, node, heartbeat, now):
        """Handle a peer's heartbeat."""
        link, effects = self._heartbeats.receive(node, heartbeat, now)
        if link is None:
            return effects
        if link.data_centre == self._data_centre:
            if self._voting.handle_heartbeat(link, heartbeat, now):
                effects += self._heartbeats.schedule_early([node])
        if link.needs_reminder(self._documents):
            effects += self._heartbeats.schedule_early([node])
        return self._add_follow_ups(effects, now)

    def timer(self, name, now):
        """Handle one of this component's timers."""
        effects = []
        if name == HEARTBEAT_TIMER:
            effects = self._send_regular_heartbeats(now)
        elif name == EARLY_TIMER:
            self._refresh(now)
            effects = self._heartbeats.send_early(now)
        elif name == VIEW_TIMER:
            self._view_timer_at = None
        elif name == PLATFORM_TIMER:
            self._updater.allow_next_call()
            effects = self._update_membership(now)
        return self._add_follow_ups(effects, now)

    def object_read(self, event, now):
        """Handle the platform's response to a read."""
        self._updater.handle_response(event, now)
        return self._add_follow_ups([], now)

    def object_written(self, event, now):
        """Handle the platform's response to a successful write."""
        self._updater.handle_response(event, now)
        return self._add_follow_ups([], now)

    def object_conflict(self, event, now):
        """Handle the platform's response to a write over an outdated version."""
        return self._add_follow_ups(self._updater.handle_conflict(event, now), now)

    def object_failed(self, event, now):
        """Handle a platform call that got no response."""
        return self._add_follow_ups(self._updater.handle_failure(event, now), now)

    def vms_listed(self, event, now):
        """Handle the platform's list of VMs."""
        self._updater.handle_vms(event, now)
        return self._add_follow_ups(self._update_membership(now), now)

    def documents_changed(self, now):
        """Apply documents that were learnt since the last event."""
        return self._add_follow_ups([], now)

    def begin_leaving(self, now):
        """Stop admitting calls, so that other members can take over the groups."""
        self._voting.leave(now)
        return self._add_follow_ups(self._heartbeats.schedule_early_for_all(), now)

    def finish_leaving(self, now):
        """Announce that this node sends nothing to upstreams any more, and leave."""
        self._heartbeats.mark_released()
        self._updater.request_removal()
        effects = self._heartbeats.schedule_early_for_all()
        return self._add_follow_ups(effects + self._update_membership(now), now)

    def owner_of(self, group, now):
        """Return the name of the node to which a group's legs are sent, "" for none."""
        self._refresh(now)
        key = (self._voting.generation, self._documents.generation)
        if key != self._owners_key or len(self._owners) >= MAX_CACHED_OWNERS:
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
        return self._voting.share_of(group.name, now)

    def owner_of_key(self, service, key, now):
        """Return the node of this data centre that owns a request's key."""
        self._refresh(now)
        nodes = self._voting.list_live()
        return find_first(f"{service}\n{key}", nodes) or self._own.node

    def address_of(self, node):
        """Return the ``ip:port`` at which a node accepts peers, "" if unknown."""
        return self._connections.address_of(node) or self._documents.address_of(node)

    def is_reachable(self, node):
        """Return whether messages to a node can be sent now."""
        return node == self._own.node or self._links.get_connected(node) is not None

    def has_recent_heartbeats(self, now):
        """Return whether no other member of this data centre is suspected."""
        return all(
            self._voting.has_recent_heartbeat(each.incarnation, now)
            for each in self._voting.membership.members
            if each.node != self._own.node
        )

    def is_isolated(self, now):
        """Return whether no other member of this data centre is live for this node."""
        self._refresh(now)
        others = {each.node for each in self._voting.membership.members}
        others.discard(self._own.node)
        return bool(others) and others.isdisjoint(self._voting.list_live())

    def describe(self, now):
        """Return the state for the status page, as plain values."""
        is_isolated = self.is_isolated(now)
        membership = self._voting.membership
        live = set(self._voting.list_live())
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

    def _send_regular_heartbeats(self, now):
        effects = self._update_membership(now)
        needed = self._voting.membership.bit_by_incarnation.keys()
        self._links.prune(needed, now, LINK_IDLE_S)
        local_peers = set(self._voting.list_live()) - {self._own.node}
        self._heartbeats.remote_nodes = self._connections.list_remote_receivers(
            bool(local_peers)
        )
        return effects + self._heartbeats.send_all(now)

    def _update_membership(self, now):
        self._refresh(now)
        return self._updater.update(now)

    def _open_link(self, event, address, now):
        return self._links.open(
            event.node, event.incarnation, event.data_centre, address, now
        )

    def _open_member_links(self, membership, now):
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
        """Apply newer documents and update liveness to ``now``."""
        if self._applied_generation != self._documents.generation:
            self._apply_documents(now)
        self._voting.refresh(now)

    def _apply_documents(self, now):
        membership = self._documents.membership_of(self._data_centre)
        if membership.epoch != self._voting.membership.epoch:
            self._open_member_links(membership, now)
            self._voting.adopt(membership, now)
            self._updater.handle_membership_change(now)
        self._voting.set_grouping(self._hash_groups(), now)
        self._applied_generation = self._documents.generation

    def _hash_groups(self):
        groups = self._documents.declarations.groups
        lines = [
            f"{name}:{','.join(groups[name].upstreams)}"
            for name in sorted(groups)
            if groups[name].data_centre == self._data_centre
        ]
        return xxhash.xxh32_intdigest("\n".join(lines).encode()) if lines else 0

    def _add_follow_ups(self, effects, now):
        """Return the effects and those that changes of the documents or votes cause."""
        self._refresh(now)
        effects = list(effects)
        has_new_documents = self._announced_generation != self._documents.generation
        if has_new_documents:
            self._announced_generation = self._documents.generation
            effects += self._announce_documents()
        if has_new_documents or self._voting.membership.previous:
            effects += self._updater.update(now)
        if has_new_documents or self._voting.has_changed:
            effects += self._connections.update_watch(self._voting.list_live())
            effects += self._connections.reconcile()
        if self._voting.has_changed:
            self._voting.has_changed = False
            effects += self._heartbeats.schedule_early_for_all()
        if not self._may_have_excess(now):
            effects += self._heartbeats.schedule_excess_end()
        return effects + self._set_view_timer(now)

    def _may_have_excess(self, now):
        if not self._voting.may_have_excess(now):
            return False
        if self._has_excess is None or self._has_excess(now):
            return True
        self._voting.clear_excess()
        self._refresh(now)
        return False

    def _announce_documents(self):
        effects = []
        for name, version in self._documents.versions():
            if self._announced_versions.get(name, 0) < version:
                effects += self._heartbeats.schedule_announcements(name)
        self._announced_versions = dict(self._documents.versions())
        return effects

    def _set_view_timer(self, now):
        wake_time = self._voting.find_wake_time(now)
        if self._has_excess is not None and self._voting.may_have_excess(now):
            wake_time = min(wake_time, now + EXCESS_POLL_S)
        if wake_time is None or (
            self._view_timer_at is not None and self._view_timer_at <= wake_time
        ):
            return []
        self._view_timer_at = wake_time
        return [SetTimer(VIEW_TIMER, max(0.0, wake_time - now) * 1000)]

    def _find_owner(self, group):
        if group.data_centre == self._data_centre:
            return find_first(group.name, self._voting.list_live())
        members = self._documents.membership_of(group.data_centre).members
        ranked = rank(group.name, [each.node for each in members])
        reachable = [
            node for node in ranked if self._links.get_connected(node) is not None
        ]
        return (reachable or ranked or ("",))[0]
