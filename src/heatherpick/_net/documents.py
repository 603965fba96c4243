"""Synchronises a node's copies of shared objects with the store or with relays.

`RelayPolicy` decides which nodes are polled for changes and which follow the store; its
docstring explains sources, temporary relays and stale nodes.
"""

import zlib

import orjson

from heatherpick._fleet.addresses import parse_address
from heatherpick._fleet.copies import (
    Change,
    HistoryGone,
    Listing,
    StoredObject,
    StoreFailure,
)
from heatherpick._fleet.relays import CHECK_INTERVAL_S
from heatherpick._net.peers import TIMEOUT_REASON

__all__ = ["ObjectSynchroniser"]

#: Delay of the retry after the first failure of the store, and the longest, in seconds.
FIRST_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 1.0
#: Time after an outage of the store in which entries that lapsed during it may still
#: be missing, in seconds: two of the platform and one for the propagation.
RECOVERY_S = 3.0
#: Delay of the next watch after a change, so that it returns further changes in one
#: batch, in seconds.
BATCH_DELAY_S = 0.4
#: Age at which a watch without a response is restarted if the store's revision is newer
#: than the copy, in seconds. The check by the newest revision of all copies misses a
#: stalled watch of one kind while another kind changes.
STALE_WATCH_S = 8.0
#: Delay from the start until relays are chosen from the node list, in seconds. Nodes
#: that start together have registered by then.
MEMBERSHIP_DELAY_S = 1.5
#: Least duration of a poll after which the next one follows at once, in seconds. After
#: a shorter one the next periodic check decides, so that no two nodes poll each other
#: in a tight loop.
MIN_POLL_DURATION_S = 0.05
#: Polls in flight up to which a node without a source also polls a random peer.
MAX_CONCURRENT_POLLS = 3
#: Compression level: links of small VMs are narrow and declarations repetitive.
ZLIB_LEVEL = 3
#: Largest decompressed body of a relay's response, in bytes; it must hold thousands of
#: upstreams and nodes and declarations of a megabyte.
MAX_UPDATE_BYTES = 16 * 1024 * 1024
CHANGES_PATH = b"/changes"
#: Fields of a poll, beside the revision of each kind: the requester's address, whether
#: it is a source, and whether it knows a source.
REQUESTER_FIELD = "from"
IS_SOURCE_FIELD = "is-source"
KNOWS_SOURCE_FIELD = "has-word"
#: Headers of the response: sources, each with the age of its last store contact at the
#: arrival of the poll, in seconds, negative if the contact came later; and, after a
#: recent outage of the store, the time since then, in seconds.
SOURCES_HEADER = b"x-heatherpick-store-heard"
UNREACHABLE_HEADER = b"x-heatherpick-store-away"


class _StoreBackoff:
    """Retries with exponential backoff while the store does not respond to this node.

    However many followers have failed, the node sends one small probe at a time; once
    the store responds, all followers resume.

    Parameters
    ----------
    synchroniser : ObjectSynchroniser
        Sends the probes.
    """

    def __init__(self, synchroniser):
        self._synchroniser = synchroniser
        self._failed_followers = []
        self._timer = None
        self._n_failures = 0

    @property
    def is_store_lost(self):
        """Whether a call to the store has failed since its last response."""
        return self._n_failures > 0

    def record_response(self):
        """Reset the delay and resume all failed followers."""
        self.stop()
        failed, self._failed_followers = self._failed_followers, []
        for follower in failed:
            follower.call_store()

    def record_failure(self, follower=None):
        """Schedule a probe; a failed follower waits until the store responds."""
        if follower is not None and follower not in self._failed_followers:
            self._failed_followers.append(follower)
        if self._timer is None:
            delay_s = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2**self._n_failures)
            delay_s *= 0.5 + self._synchroniser.rng.random()
            self._n_failures = min(self._n_failures + 1, 8)
            self._timer = self._synchroniser.loop.call_later(delay_s, self._retry)

    def stop(self):
        """Cancel the scheduled probe and reset the delay."""
        self._n_failures = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _retry(self):
        self._timer = None
        self._synchroniser.probe_store()


class _StoreFollower:
    """Keeps the copy of one kind up to date by listing and watching the store."""

    def __init__(self, synchroniser, copy):
        self._synchroniser = synchroniser
        self._copy = copy
        self._cancel = None
        self._timer = None
        self._called_at = 0.0
        self.is_active = False

    def is_behind(self, revision, now):
        """Return whether a call has long been pending although the store changed."""
        return (
            self._cancel is not None
            and (self._copy.revision or 0) < revision
            and now - self._called_at > STALE_WATCH_S
        )

    def start(self):
        """Start following the store, if not yet done."""
        if not self.is_active:
            self.is_active = True
            self.call_store()

    def stop(self):
        """Stop following the store."""
        self.is_active = False
        self._cancel_call()

    def restart(self):
        """Replace the current call, which may never get a response."""
        self._cancel_call()
        self.call_store()

    def _cancel_call(self):
        if self._cancel is not None:
            self._cancel()
            self._cancel = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def call_store(self):
        """List or watch the objects unless a call is in flight."""
        self._timer = None
        if not self.is_active or self._cancel is not None:
            return
        store = self._synchroniser.store
        self._called_at = self._synchroniser.loop.seconds()
        if self._copy.revision is None:
            self._cancel = store.list_objects(self._copy.kind, self._handle_result)
        else:
            self._cancel = store.watch_objects(
                self._copy.kind, self._copy.revision, self._handle_result
            )

    def _handle_result(self, result):
        self._cancel = None
        if type(result) is StoreFailure:
            self._synchroniser.handle_store_failure(result.reason, self)
            return
        self._synchroniser.handle_store_response()
        if type(result) is HistoryGone:
            self._report("history of the store is gone")
            self._cancel = self._synchroniser.store.list_objects(
                self._copy.kind, self._handle_result
            )
            return
        delay_s = BATCH_DELAY_S
        try:
            delay_s = self._apply(result)
            self._synchroniser.respond_with_updates()
        finally:
            # A consumer that fails must not end the following.
            if self.is_active and self._timer is None:
                self._timer = self._synchroniser.loop.call_later(
                    delay_s, self.call_store
                )

    def _apply(self, result):
        """Apply a result of the store; return the delay of the next call in seconds."""
        if type(result) is Listing:
            self._copy.apply_listing(result)
            return 0.0
        changes = [Change(result.revision, each) for each in result.objects]
        self._copy.apply_changes(changes, result.revision)
        return BATCH_DELAY_S if changes else 0.0

    def _report(self, message, **fields):
        self._synchroniser.report(
            message, kind=self._copy.kind, revision=self._copy.revision, **fields
        )


class ObjectSynchroniser:
    """Keeps all copies of a node up to date, from the store or from relays.

    It polls relays, responds to polls of peers, and follows the store itself where the
    policy says so.

    Parameters
    ----------
    loop : EventLoop
        Runs the calls and timers.
    store : SharedStore
        The platform's store.
    transport : PeerTransport
        Sends polls to peers and receives theirs.
    copies : list of LocalCopy
        Copies to keep up to date, one of each kind.
    policy : RelayPolicy
        Decides which peers to poll and whether to follow the store.
    freshness : Freshness
        Gives the intervals and timeouts.
    report : callable
        ``report(message, **fields)`` writes to the log.
    rng : random.Random
        Spreads the retries of many nodes.
    own_address : str
        Address at which peers poll this node.
    """

    def __init__(
        self,
        loop,
        store,
        transport,
        copies,
        policy,
        freshness,
        report,
        rng,
        own_address,
    ):
        self.loop = loop
        self.store = store
        self._transport = transport
        self.report = report
        self.rng = rng
        self.backoff = _StoreBackoff(self)
        self._own_address = own_address
        self._copies = {copy.kind: copy for copy in copies}
        self._policy = policy
        self._freshness = freshness
        self._followers = [_StoreFollower(self, copy) for copy in copies]
        #: Called with the time of each store contact of this node or a source.
        self.on_store_contact = lambda now: None
        self._unreachable_at = float("-inf")
        # Whether the response being applied reports an outage, and the last reported.
        self._is_reported_unreachable = False
        self._reported_unreachable_at = float("-inf")
        self._is_probing = False
        self._is_reading_revision = False
        self._polled_addresses = set()
        self._waiting_requests = {}
        self._is_following_store = None
        self._cached_body = None

    def start(self, host, port):
        """Begin the periodic checks, and serve polls of peers at an address."""
        self._transport.listen(host, port, self.handle_request, self.handle_disconnect)
        self._run_checks()
        self.loop.call_later(
            MEMBERSHIP_DELAY_S * (1.0 + 0.2 * self.rng.random()),
            self._policy.use_members,
        )
        self.loop.call_later(MEMBERSHIP_DELAY_S, self._read_revision)

    def was_store_unreachable(self):
        """Return whether entries may have lapsed because the store was unreachable.

        While a relay's response is applied, only that relay's report counts besides
        this node's own contact: a relay that cannot reach the store says nothing about
        the deletions that another one has received.
        """
        return (
            self._is_reported_unreachable
            or self.loop.seconds() - self._unreachable_at < RECOVERY_S
        )

    def handle_store_response(self):
        """Record a response of the store and resume what waited for it."""
        now = self.loop.seconds()
        lacked_source = self._policy.lacks_source(now)
        if self._policy.is_stale(now) and self._policy.is_store_reported_lost(now):
            self._unreachable_at = now
        if self.backoff.is_store_lost:
            self.report("store regained")
        self._policy.record_store_contact(now)
        self.backoff.record_response()
        self.on_store_contact(now)
        if lacked_source:
            self._respond_to_all()

    def handle_store_failure(self, reason, follower=None):
        """Record a failed call to the store; the first one ends the waiting polls.

        Parameters
        ----------
        reason : str
            Why the call failed, for the log.
        follower : _StoreFollower, optional
            Follower whose call failed; it resumes once the store responds.
        """
        self._unreachable_at = self.loop.seconds()
        if not self.backoff.is_store_lost:
            self.report("store lost", reason=reason)
            self._policy.record_store_loss()
            self._respond_to_all()
        if self._policy.follows_store:
            self.backoff.record_failure(follower)

    # The store

    def _run_checks(self):
        self.loop.call_later(CHECK_INTERVAL_S, self._run_checks)
        now = self.loop.seconds()
        self._poll_relays(now)
        if len(self._polled_addresses) < MAX_CONCURRENT_POLLS:
            peer = self._policy.choose_random_peer(now)
            if peer is not None and peer not in self._polled_addresses:
                self._poll_peer(peer)
        self._update_followers()
        if self._policy.is_probe_due(now):
            self.probe_store()

    def _update_followers(self):
        """Start or stop the followers as the policy decides."""
        follows = self._policy.follows_store
        if follows == self._is_following_store:
            return
        self._is_following_store = follows
        self.report("follows the store" if follows else "follows relays")
        for follower in self._followers:
            if follows:
                follower.start()
            else:
                follower.stop()
        if not follows:
            self.backoff.stop()

    def probe_store(self):
        """Read the store's revision to find out whether the store responds."""
        if not self._is_probing:
            self._is_probing = True
            self.store.read_revision(self._handle_probe)

    def _handle_probe(self, revision):
        self._is_probing = False
        if type(revision) is StoreFailure:
            self.handle_store_failure(revision.reason)
            return
        self.handle_store_response()
        self._update_followers()

    def _read_revision(self):
        self.loop.call_later(self._freshness.revision_interval_s, self._read_revision)
        is_due = self._is_following_store and not self.backoff.is_store_lost
        if is_due and not self._is_reading_revision:
            self._is_reading_revision = True
            self.store.read_revision(self._handle_revision)

    def _handle_revision(self, revision):
        self._is_reading_revision = False
        if type(revision) is StoreFailure:
            # Pending watches would not reveal the loss of the store for a long time.
            self.handle_store_failure(revision.reason)
            return
        self.handle_store_response()
        self.loop.call_later(
            self._freshness.watch_grace_s, self._compare_revision, revision
        )

    def _compare_revision(self, revision):
        newest_known = max((copy.revision or 0) for copy in self._copies.values())
        has_missed_changes = revision > newest_known
        if has_missed_changes:
            self.report("store has news that no watch told", revision=revision)
        now = self.loop.seconds()
        for follower in self._followers:
            if follower.is_behind(revision, now) or has_missed_changes:
                follower.restart()

    # Polling peers

    def _poll_peer(self, address):
        now = self.loop.seconds()
        target = "&".join(
            f"{kind}={copy.revision or 0}" for kind, copy in self._copies.items()
        )
        target += f"&{REQUESTER_FIELD}={self._own_address}"
        if self._policy.is_source:
            target += f"&{IS_SOURCE_FIELD}=1"
        if not self._policy.needs_source_from(address, now):
            target += f"&{KNOWS_SOURCE_FIELD}=1"
        self._polled_addresses.add(address)
        self._transport.send_request(
            address,
            b"%s?%s" % (CHANGES_PATH, target.encode()),
            self._freshness.poll_timeout_s,
            lambda response, reason: self._handle_poll_response(
                address, now, response, reason
            ),
        )

    def _handle_poll_response(self, address, polled_at, response, reason):
        self._polled_addresses.discard(address)
        if response is None or response.status != 200:
            is_timeout = response is None and reason.endswith(TIMEOUT_REASON)
            reason = reason or f"status {response.status}"
            self._handle_poll_failure(address, reason, is_timeout)
            return
        try:
            sources = _parse_sources(response.by_name, polled_at)
            if UNREACHABLE_HEADER in response.by_name:
                reported_at = self.loop.seconds() - float(
                    response.by_name[UNREACHABLE_HEADER]
                )
                self._reported_unreachable_at = max(
                    self._reported_unreachable_at, reported_at
                )
                self._is_reported_unreachable = True
            for kind, update in _decode_updates(response.body).items():
                self._apply_update(kind, update)
        except (ValueError, KeyError, TypeError, zlib.error) as error:
            self._handle_poll_failure(
                address, f"invalid response: {error!r}", is_timeout=True
            )
            return
        finally:
            self._is_reported_unreachable = False
        now = self.loop.seconds()
        lacked_source = self._policy.lacks_source(now)
        self._policy.record_response(address, sources, now)
        if sources:
            # Without recent store contact this node is not ready and gets no requests.
            self.on_store_contact(max(sources.values()))
        if now - polled_at >= MIN_POLL_DURATION_S:
            self._poll_relays(now)
        if lacked_source and not self._policy.lacks_source(now):
            self._respond_to_all()
        else:
            self.respond_with_updates()

    def _poll_relays(self, now):
        for address in self._policy.choose_relays(now):
            if address not in self._polled_addresses:
                self._poll_peer(address)

    def _handle_poll_failure(self, address, reason, is_timeout):
        self.report("relay lost", relay=address, reason=reason)
        self._policy.record_failure(address, self.loop.seconds(), is_timeout)

    def _apply_update(self, kind, update):
        copy = self._copies.get(kind)
        if copy is None:
            return
        if update["all"] is not None:
            objects = tuple(StoredObject(*each) for each in update["all"])
            copy.apply_listing(Listing(objects, update["revision"]))
        else:
            changes = [
                Change(revision, StoredObject(name, value, is_deleted))
                for revision, name, value, is_deleted in update["changes"]
            ]
            copy.apply_changes(changes, update["revision"])

    # Serving polls

    def handle_request(self, request):
        """Respond to the poll of a peer once there are changes, or after a while."""
        parameters = _parse_poll(request.target)
        now = self.loop.seconds()
        knows_source = parameters.pop(KNOWS_SOURCE_FIELD, 0)
        is_source = bool(parameters.pop(IS_SOURCE_FIELD, 0))
        self._policy.record_request(parameters.pop(REQUESTER_FIELD, ""), is_source, now)
        if knows_source:
            # A peer that knows another source should return to it at once if this node
            # is none.
            is_urgent = not self._policy.is_source
        else:
            is_urgent = self._policy.knows_source(now)
        if is_urgent or self._has_update(parameters):
            self._respond(request, parameters, now)
            return
        timer = self.loop.call_later(
            self._freshness.poll_wait_s, self._respond, request, parameters, now
        )
        self._waiting_requests[request] = parameters, timer, now

    def handle_disconnect(self, request):
        """Drop a waiting poll whose peer has disconnected."""
        waiting = self._waiting_requests.pop(request, None)
        if waiting is not None:
            waiting[1].cancel()

    def respond_with_updates(self):
        """Respond to the waiting polls for which there are changes."""
        for request, (known_revisions, timer, arrived_at) in list(
            self._waiting_requests.items()
        ):
            if self._has_update(known_revisions):
                timer.cancel()
                self._respond(request, known_revisions, arrived_at)

    def _respond_to_all(self):
        """Respond to all waiting polls, as the contact with the store has changed."""
        for request, (known_revisions, timer, arrived_at) in list(
            self._waiting_requests.items()
        ):
            timer.cancel()
            self._respond(request, known_revisions, arrived_at)

    def _has_update(self, known_revisions):
        # Revisions also rise without a change to the kind; only changes are worth an
        # early response.
        for kind, copy in self._copies.items():
            since = known_revisions.get(kind, 0)
            if copy.revision is None or copy.revision <= since:
                continue
            if copy.find_changes(since) != []:
                return True
        return False

    def _respond(self, request, known_revisions, arrived_at):
        self._waiting_requests.pop(request, None)
        updates = {
            kind: _format_update(copy, known_revisions.get(kind, 0))
            for kind, copy in self._copies.items()
            if copy.revision is not None
            and copy.revision > known_revisions.get(kind, 0)
        }
        headers = []
        now = self.loop.seconds()
        # Ages refer to the arrival of the poll, as the clocks of two nodes differ.
        sources = [
            f"{address}={age_s - (now - arrived_at):.3f}"
            for address, age_s in self._policy.list_sources(now)
        ]
        if sources:
            headers.append((SOURCES_HEADER, ",".join(sources).encode()))
        unreachable_age_s = now - max(
            self._unreachable_at, self._reported_unreachable_at
        )
        if unreachable_age_s < RECOVERY_S:
            headers.append((UNREACHABLE_HEADER, b"%.3f" % unreachable_age_s))
        request.respond(200, headers, self._encode_updates(updates, known_revisions))

    def _encode_updates(self, updates, known_revisions):
        if not updates:
            return b""
        # Many peers poll for the same changes at once, so the encoded body is reused.
        revisions = tuple(copy.revision for copy in self._copies.values())
        key = revisions, tuple(sorted(known_revisions.items()))
        if self._cached_body is None or self._cached_body[0] != key:
            self._cached_body = key, zlib.compress(orjson.dumps(updates), ZLIB_LEVEL)
        return self._cached_body[1]


def _format_update(copy, since):
    """Return the changes of a kind after a revision.

    All objects are returned instead if the copy's history starts later.
    """
    changes = copy.find_changes(since)
    if changes is None or not since:
        all_objects = [[each.name, each.value] for each in copy.list_objects()]
        return {"revision": copy.revision, "all": all_objects, "changes": ()}
    rows = [
        [change.revision, each.name, each.value, each.is_deleted]
        for change in changes
        for each in (change.object,)
    ]
    return {"revision": copy.revision, "all": None, "changes": rows}


def _decode_updates(body):
    """Decode the body of a relay's response.

    Returns
    -------
    dict of str to dict
        Update of each kind, as built by `_format_update`.

    Raises
    ------
    ValueError
        If the body is truncated, invalid or larger than `MAX_UPDATE_BYTES` when
        decompressed.
    zlib.error
        If it is not compressed data.
    """
    if not body:
        return {}
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(body, MAX_UPDATE_BYTES)
    if not decompressor.eof:
        raise ValueError(f"does not end within {MAX_UPDATE_BYTES} bytes")
    return orjson.loads(data)


def _parse_sources(by_name, polled_at):
    """Return the time of the last store contact of each source that a peer named."""
    sources = {}
    for entry in by_name.get(SOURCES_HEADER, b"").decode("latin-1").split(","):
        address, _, age_s = entry.partition("=")
        if parse_address(address) is not None:
            # The poll arrived after ``polled_at``: the contact is no older than this.
            sources[address] = polled_at - float(age_s)
    return sources


def _parse_poll(target):
    """Return a peer's revision of each kind, its address and its flags, by name."""
    parameters = {}
    for pair in target.decode("latin-1").partition("?")[2].split("&"):
        name, _, value = pair.partition("=")
        if name == REQUESTER_FIELD:
            # It may be polled in turn, so it must be an address.
            parameters[name] = value if parse_address(value) is not None else ""
        elif value.isdigit():
            parameters[name] = int(value)
    return parameters
