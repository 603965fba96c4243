"""Sending and receiving of heartbeats."""

from heatherpick._core.effects import Count, SendPeer, SetTimer
from heatherpick._core.membership import make_membership_name
from heatherpick._core.messages import Heartbeat

__all__ = ["EARLY_TIMER", "HEARTBEAT_TIMER", "Heartbeats"]

#: Timer of the regular heartbeats to all receivers.
HEARTBEAT_TIMER = "members:heartbeat"

#: Timer of heartbeats that are sent before the next regular ones.
EARLY_TIMER = "members:early"

#: Peers to which a newer document is announced early; the others are told by these
#: or with the next regular heartbeat, so that one node does not send it to all.
MAX_EARLY_RECEIVERS = 8

#: Maximum bytes of a heartbeat's bit sets together; bounds the memory for a peer.
MAX_BIT_SET_BYTES = 512

#: Maximum number of members for the shorter interval between heartbeats.
MAX_MEMBERS_FAST_INTERVAL = 46


class Heartbeats:
    """Heartbeats of one node to peers in its data centre and to remote nodes."""

    def __init__(self, own, data_centre, documents, links, voting, timings):
        self._own = own
        self._data_centre = data_centre
        self._documents = documents
        self._links = links
        self._voting = voting
        self._timings = timings
        self._grouping = 0
        self._early_receivers = set()
        self._excess_receivers = set()
        self._is_early_timer_set = False
        self._is_released = False
        #: Nodes outside the data centre that receive heartbeats too.
        self.remote_nodes = ()

    def mark_released(self):
        """Announce from now on that this node sends nothing to upstreams any more."""
        self._is_released = True

    def set_grouping(self, grouping):
        """Set the hash of the groups of upstreams that votes are for."""
        self._grouping = grouping

    def receive(self, node, heartbeat, now):
        """Handle a heartbeat.

        Returns
        -------
        link : Link or None
            The link that the heartbeat belongs to, None when it is dropped.
        effects : list
            Requests for newer documents, or the counter of dropped heartbeats.
        """
        if len(heartbeat.settled) + len(heartbeat.unsettled) > MAX_BIT_SET_BYTES:
            return None, [Count("heartbeats_dropped", "size")]
        link = self._links.find_by_hash(node, heartbeat.link)
        if link is None:
            return None, [Count("heartbeats_dropped", "link")]
        if not link.receive(heartbeat, now):
            return None, [Count("heartbeats_dropped", "sequence")]
        own_version = (make_membership_name(link.data_centre), heartbeat.epoch)
        versions = (own_version, *heartbeat.versions)
        link.record_versions(versions)
        return link, self._documents.request_newer(node, versions, now)

    def send_all(self, now):
        """Return regular heartbeats to all receivers and the timer of the next ones."""
        self._early_receivers.clear()
        effects = [self._send(link, now) for link in self.list_receivers()]
        interval_s = self._timings.heartbeat_s
        if len(self._voting.membership.members) > MAX_MEMBERS_FAST_INTERVAL:
            interval_s = self._timings.slow_heartbeat_s
        return [*effects, SetTimer(HEARTBEAT_TIMER, interval_s * 1000)]

    def schedule_early(self, nodes):
        """Return the timer that sends early heartbeats to some peers."""
        self._early_receivers.update(nodes)
        if self._is_early_timer_set or not self._early_receivers:
            return []
        self._is_early_timer_set = True
        return [SetTimer(EARLY_TIMER, self._timings.early_heartbeat_delay_s * 1000)]

    def schedule_early_for_all(self):
        """Return the timer that sends early heartbeats to all local peers."""
        return self.schedule_early(link.node for link in self._list_local_links())

    def schedule_announcements(self, name):
        """Return the timer that announces a newer document to some peers."""
        version = self._documents.version_of(name)
        uninformed = [
            link
            for link in self.list_receivers()
            if link.peer_versions.get(name, 0) < version
        ]
        # The hashes order the peers differently on each node, so that nodes announce
        # the document to different peers first.
        uninformed.sort(key=lambda link: link.outbound_hash)
        return self.schedule_early(
            link.node for link in uninformed[:MAX_EARLY_RECEIVERS]
        )

    def schedule_excess_end(self):
        """Return the timer that tells waiting peers that no excess calls are left."""
        links = self._list_connected_links(self._excess_receivers)
        return self.schedule_early(
            link.node for link in links if not link.is_ballot_pending
        )

    def send_early(self, now):
        """Return the scheduled early heartbeats."""
        self._is_early_timer_set = False
        receivers, self._early_receivers = sorted(self._early_receivers), set()
        return [self._send(link, now) for link in self._list_connected_links(receivers)]

    def list_receivers(self):
        """Return the links that receive regular heartbeats."""
        return self._list_local_links() + self._list_connected_links(self.remote_nodes)

    def _list_connected_links(self, nodes):
        links = [self._links.get_connected(node) for node in nodes]
        return [link for link in links if link is not None]

    def _list_local_links(self):
        return [
            link
            for link in self._links.list_connected()
            if link.data_centre == self._data_centre
        ]

    def _send(self, link, now):
        is_local = link.data_centre == self._data_centre
        ballot = self._voting.ballot
        may_have_excess = self._voting.may_have_excess(now) or link.is_ballot_pending
        if may_have_excess and is_local:
            self._excess_receivers.add(link.node)
        else:
            self._excess_receivers.discard(link.node)
        versions = link.list_versions_to_announce(self._documents.versions())
        sequence = link.assign_sequence(now)
        if versions:
            link.pending_announcements.append((sequence, dict(versions)))
        heartbeat = Heartbeat(
            link=link.outbound_hash,
            sequence=sequence,
            echo=link.last_received_sequence,
            epoch=ballot.epoch,
            settled=_pack_bits(ballot.settled) if is_local else b"",
            unsettled=_pack_bits(ballot.unsettled) if is_local else b"",
            grouping=ballot.grouping,
            has_excess=may_have_excess,
            leaving=self._voting.is_leaving,
            released=self._is_released,
            versions=versions,
        )
        return SendPeer(link.node, heartbeat)


def _pack_bits(bits):
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")
