"""Sends and receives heartbeats."""

from heatherpick._core.effects import Count, SendPeer, SetTimer
from heatherpick._core.membership import name_membership
from heatherpick._core.messages import Heartbeat

__all__ = ["EARLY_TIMER", "HEARTBEAT_TIMER", "Heartbeats"]

#: Timer of the heartbeats to all.
HEARTBEAT_TIMER = "members:heartbeat"

#: Timer of the heartbeats that are sent ahead of their time.
EARLY_TIMER = "members:early"

#: Peers that are told of a newer document at once; the others hear it from these
#: or with the next heartbeat, so that one node does not send it to all.
N_TOLD_EARLY = 8

#: Bytes of bit sets in a heartbeat; a peer cannot make this node keep more.
N_BITS_BYTES = 512

#: Members from which the longer time between heartbeats applies.
N_SMALL = 46


class Heartbeats:
    """Heartbeats of one node to its data centre and, from a few, to the others."""

    def __init__(self, own, data_centre, documents, links, electorate, timings):
        self._own = own
        self._data_centre = data_centre
        self._documents = documents
        self._links = links
        self._electorate = electorate
        self._timings = timings
        self._grouping = 0
        self._owed = set()
        self._misled = set()
        self._is_early_set = False
        self._is_released = False
        #: Nodes outside the data centre that get heartbeats too.
        self.remote = ()

    def release(self):
        """State from now on that this node sends nothing to upstreams any more."""
        self._is_released = True

    def regroup(self, grouping):
        """State votes for other groups of upstreams from now on."""
        self._grouping = grouping

    def receive(self, node, heartbeat, now):
        """Take in a heartbeat.

        Returns
        -------
        link : Link or None
            The link that the heartbeat belongs to, None when it is dropped.
        effects : list
            Requests for newer documents, or the count of the drop.
        """
        if len(heartbeat.settled) + len(heartbeat.unsettled) > N_BITS_BYTES:
            return None, [Count("heartbeats_dropped", "size")]
        link = self._links.find(node, heartbeat.link)
        if link is None:
            return None, [Count("heartbeats_dropped", "link")]
        if not link.receive(heartbeat, now):
            return None, [Count("heartbeats_dropped", "sequence")]
        membership = (name_membership(link.data_centre), heartbeat.epoch)
        versions = (membership, *heartbeat.versions)
        link.note_versions(versions)
        return link, self._documents.compare(node, versions, now)

    def send_all(self, now):
        """Return a heartbeat to every receiver and the timer for the next."""
        self._owed.clear()
        effects = [self._send(link, now) for link in self.list_receivers()]
        interval_s = self._timings.heartbeat_s
        if len(self._electorate.membership.members) > N_SMALL:
            interval_s = self._timings.slow_heartbeat_s
        return [*effects, SetTimer(HEARTBEAT_TIMER, interval_s * 1000)]

    def owe(self, nodes):
        """Return the timer that sends heartbeats to some peers ahead of time."""
        self._owed.update(nodes)
        if self._is_early_set or not self._owed:
            return []
        self._is_early_set = True
        return [SetTimer(EARLY_TIMER, self._timings.early_heartbeat_delay_s * 1000)]

    def owe_all(self):
        """Return the timer that sends heartbeats to all fellows ahead of time."""
        return self.owe(link.node for link in self._list_fellows())

    def owe_documents(self, name):
        """Return the timer that tells some peers of a newer document."""
        version = self._documents.version_of(name)
        unaware = [
            link
            for link in self.list_receivers()
            if link.peer_versions.get(name, 0) < version
        ]
        # The order differs between nodes, so that each tells others first.
        unaware.sort(key=lambda link: link.token_out)
        return self.owe(link.node for link in unaware[:N_TOLD_EARLY])

    def owe_misled(self):
        """Return the timer that tells peers that no more calls are to be awaited."""
        links = self._reach(self._misled)
        return self.owe(link.node for link in links if not link.is_unread)

    def pay(self, now):
        """Return the heartbeats that are owed."""
        self._is_early_set = False
        owed, self._owed = sorted(self._owed), set()
        return [self._send(link, now) for link in self._reach(owed)]

    def list_receivers(self):
        """Return the links that get a heartbeat regularly."""
        return self._list_fellows() + self._reach(self.remote)

    def _reach(self, nodes):
        links = [self._links.reach(node) for node in nodes]
        return [link for link in links if link is not None]

    def _list_fellows(self):
        return [
            link
            for link in self._links.list_connected()
            if link.data_centre == self._data_centre
        ]

    def _send(self, link, now):
        is_fellow = link.data_centre == self._data_centre
        ballot = self._electorate.ballot
        over = self._electorate.is_over(now) or link.is_unread
        if over and is_fellow:
            self._misled.add(link.node)
        else:
            self._misled.discard(link.node)
        versions = link.list_untold(self._documents.versions())
        sequence = link.stamp(now)
        if versions:
            link.carried.append((sequence, dict(versions)))
        heartbeat = Heartbeat(
            link=link.token_out,
            sequence=sequence,
            echo=link.n_received,
            epoch=ballot.epoch,
            settled=_pack(ballot.settled) if is_fellow else b"",
            unsettled=_pack(ballot.unsettled) if is_fellow else b"",
            grouping=ballot.grouping,
            has_excess=over,
            leaving=self._electorate.is_leaving,
            released=self._is_released,
            versions=versions,
        )
        return SendPeer(link.node, heartbeat)


def _pack(bits):
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")
