"""Keeps a node's copies of shared objects new, from the store or from relays."""

import zlib

import orjson

from heatherpick._fleet.copies import (
    Change,
    HistoryGone,
    Listing,
    StoredObject,
    StoreFailure,
)
from heatherpick._net.probes import PageServer
from heatherpick._net.upstreams import ConnectionPool, Exchange

__all__ = ["DocumentKeeper"]

#: Pause after the first failure of the store, and the longest, in seconds.
FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 1.0
#: Time after the store's return in which entries that lapsed may still be missing, in
#: seconds; the platform's two and one for the way.
AWAY_S = 3.0
#: Pause between a change and the next watch, in which further changes gather, in
#: seconds.
GATHER_S = 0.4
#: Pause between two looks at whom to ask, in seconds.
LOOK_S = 0.25
#: Time after which a watch without an answer is asked anew if the store has changed
#: meanwhile, in seconds: news of one kind must not hide those of another.
SILENT_S = 8.0
#: Longest wait for a connection to a relay, in seconds.
RELAY_CONNECT_S = 0.4
#: Time from the start until a node looks for relays, in seconds. Nodes that start
#: together have written where they are by then.
SETTLE_S = 1.5
#: Time for which a node that starts waits for its seeds before it asks the store, in
#: seconds.
SEEDS_S = 0.5
#: Level of compression: links of small VMs are narrow and declarations repetitive.
ZLIB_LEVEL = 3
#: Stands for a word from the store of which nobody knows how old it is, in seconds.
UNKNOWN_AGE_S = 1e6
#: Largest words of a relay once unpacked, in bytes: thousands of upstreams and nodes
#: and declarations of a megabyte.
MAX_NEWS_BYTES = 16 * 1024 * 1024
PATH = b"/changes"


class _StoreFollower:
    """Follows one kind at the store, over every failure, while it is wanted."""

    def __init__(self, keeper, copy):
        self._keeper = keeper
        self._copy = copy
        self._cancel = None
        self._timer = None
        self._n_failures = 0
        self._asked_at = 0.0
        self.is_wanted = False

    @property
    def is_empty(self):
        """Whether there is no listing yet."""
        return self._copy.revision is None

    @property
    def is_failing(self):
        """Whether the last call to the store failed."""
        return self._n_failures > 0

    def is_behind(self, revision, now):
        """Return whether a watch has been silent for long while the store changed."""
        return (
            self._cancel is not None
            and (self._copy.revision or 0) < revision
            and now - self._asked_at > SILENT_S
        )

    def start(self):
        """Follow the store from now on."""
        if self.is_wanted:
            return
        self.is_wanted = True
        self._go_on()

    def stop(self):
        """Follow the store no more."""
        self.is_wanted = False
        self._give_up()

    def restart(self):
        """Ask again, as the present call may never be answered."""
        self._give_up()
        if self.is_wanted:
            self._go_on()

    def _give_up(self):
        if self._cancel is not None:
            self._cancel()
            self._cancel = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _go_on(self):
        self._timer = None
        if not self.is_wanted and self._copy.revision is not None:
            return
        store = self._keeper.store
        self._asked_at = self._keeper.loop.seconds()
        if self._copy.revision is None:
            self._cancel = store.list_objects(self._copy.kind, self._take)
        else:
            self._cancel = store.watch_objects(
                self._copy.kind, self._copy.revision, self._take
            )

    def list_once(self):
        """Fetch the first listing whether or not the store is followed after it."""
        if self._cancel is None and self._timer is None:
            self._go_on()

    def _take(self, result):
        self._cancel = None
        if type(result) is StoreFailure:
            self._fail(result)
            return
        if self._n_failures:
            self._n_failures = 0
            self._report("store regained")
        self._keeper.note_store()
        pause_s = 0.0
        if type(result) is HistoryGone:
            self._report("history of the store is gone")
            self._cancel = self._keeper.store.list_objects(self._copy.kind, self._take)
            return
        if type(result) is Listing:
            self._copy.take_listing(result)
        else:
            changes = [Change(result.revision, each) for each in result.objects]
            self._copy.take_changes(changes, result.revision)
            pause_s = GATHER_S if changes else 0.0
        self._keeper.announce()
        if self.is_wanted:
            self._timer = self._keeper.loop.call_later(pause_s, self._go_on)

    def _fail(self, failure):
        if not self._n_failures:
            self._report("store lost", reason=failure.reason)
        self._keeper.note_store_away()
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self._n_failures)
        self._n_failures = min(self._n_failures + 1, 8)
        pause_s *= 0.5 + self._keeper.rng.random()
        self._timer = self._keeper.loop.call_later(pause_s, self._go_on)

    def _report(self, message, **fields):
        self._keeper.report(
            message, kind=self._copy.kind, revision=self._copy.revision, **fields
        )


class DocumentKeeper:
    """All copies of a node and their sources.

    Parameters
    ----------
    loop : EventLoop
        Runs everything.
    store : SharedStore
        The platform's store.
    copies : list of SharedCopy
        What to keep.
    plan : RelayPlan
        Decides whom to ask.
    freshness : Freshness
        How soon news must be known.
    report : callable
        ``report(message, **fields)`` writes to the log.
    rng : random.Random
        Spreads the retries of many nodes.
    """

    def __init__(self, loop, store, copies, plan, freshness, report, rng):
        self.loop = loop
        self.store = store
        self.report = report
        self.rng = rng
        self._copies = {copy.kind: copy for copy in copies}
        self._plan = plan
        self._freshness = freshness
        self._followers = [_StoreFollower(self, copy) for copy in copies]
        self._heard_store_at = None
        #: Called with the time of each answer of the store, to this node or a relay.
        self.heard_store = lambda now: None
        self._away_at = float("-inf")
        self._is_asking_revision = False
        self._polls = {}
        self._pools = {}
        self._waiting = {}
        self._was_following = None
        self._encoded = None

    def start(self, host, port):
        """Fetch everything once, and serve peers at an address."""
        PageServer(self.loop, {}, self.begin, self.abandon).listen(host, port)
        if self._plan.seeds:
            for address in self._plan.seeds:
                self._poll(address)
            self.loop.call_later(SEEDS_S, self._list_missing)
        else:
            self._list_missing()
        self.loop.call_later(SETTLE_S * (1.0 + 0.2 * self.rng.random()), self._look)
        self.loop.call_later(SETTLE_S, self._ask_revision)

    def was_store_away(self):
        """Return whether entries may have lapsed because the store was out of reach.

        Only this node's own calls count: a relay that cannot reach the store says
        nothing about the entries that another one has seen go.
        """
        return self.loop.seconds() - self._away_at < AWAY_S

    def note_store_away(self):
        """Take note that the store is out of reach, and tell peers that wait."""
        self._away_at = self.loop.seconds()
        for request, (known, timer) in list(self._waiting.items()):
            timer.cancel()
            self._tell(request, known)

    def _list_missing(self):
        for follower in self._followers:
            if follower.is_empty:
                follower.list_once()

    def note_store(self):
        """Take note that the store has answered."""
        self._heard_store_at = self.loop.seconds()
        self.heard_store(self._heard_store_at)

    # The store

    def _look(self):
        self.loop.call_later(LOOK_S, self._look)
        now = self.loop.seconds()
        for address in self._plan.choose_relays(now):
            if address not in self._polls:
                self._poll(address)
        follows = self._plan.follows_store(now)
        if follows != self._was_following:
            self._was_following = follows
            self.report("follows the store" if follows else "follows relays")
        for follower in self._followers:
            if follows:
                follower.start()
            elif follower.is_wanted:
                follower.stop()

    def _ask_revision(self):
        self.loop.call_later(self._freshness.revision_s, self._ask_revision)
        if self._was_following and not self._is_asking_revision:
            self._is_asking_revision = True
            self.store.read_revision(self._take_revision)

    def _take_revision(self, revision):
        self._is_asking_revision = False
        if type(revision) is StoreFailure:
            return
        self.note_store()
        self.loop.call_later(
            self._freshness.explain_s, self._compare_revision, revision
        )

    def _compare_revision(self, revision):
        known = max((copy.revision or 0) for copy in self._copies.values())
        is_unexplained = revision > known
        if is_unexplained:
            self.report("store has news that no watch told", revision=revision)
        now = self.loop.seconds()
        for follower in self._followers:
            if follower.is_behind(revision, now) or is_unexplained:
                follower.restart()

    # Asking relays

    def _poll(self, address):
        pool = self._pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = self._pools[address] = ConnectionPool(
                self.loop, host, int(port), 1, RELAY_CONNECT_S
            )
        known = "&".join(
            f"{kind}={copy.revision or 0}" for kind, copy in self._copies.items()
        )
        data = b"GET %s?%s HTTP/1.1\r\nHost: %s\r\n\r\n" % (
            PATH,
            known.encode(),
            address.encode(),
        )
        exchange = Exchange(data, self._take_poll, context=address)
        timer = self.loop.call_later(
            self._freshness.poll_timeout_s, self._miss, address
        )
        self._polls[address] = exchange, timer
        pool.send(exchange)

    def _miss(self, address):
        exchange, _ = self._polls.pop(address)
        exchange.cancel()
        self._fail_poll(address, "timeout")

    def _take_poll(self, exchange, answer, _was_sent, reason):
        address = exchange.context
        _, timer = self._polls.pop(address)
        timer.cancel()
        if answer is None or answer.status != 200:
            self._fail_poll(address, reason or f"status {answer.status}")
            return
        try:
            document = _decode_news(answer.body)
            age_s = float(document["age_s"])
            for kind, news in document["kinds"].items():
                self._take_news(kind, news)
        except (ValueError, KeyError, TypeError, zlib.error) as error:
            self._fail_poll(address, f"not understood: {error!r}")
            return
        now = self.loop.seconds()
        self._plan.note_answer(address, age_s, now)
        if age_s <= self._freshness.alone_s:
            # A node that counts as cut off gets no requests, and must hear otherwise.
            self.heard_store(now - age_s)
        if address in self._plan.choose_relays(now):
            self._poll(address)
        self.announce()

    def _fail_poll(self, address, reason):
        if self._was_following is None:
            # Nodes that start together do not answer each other yet.
            return
        self.report("relay lost", relay=address, reason=reason)
        self._plan.note_failure(address, self.loop.seconds())

    def _take_news(self, kind, news):
        copy = self._copies.get(kind)
        if copy is None:
            return
        if news["all"] is not None:
            objects = tuple(StoredObject(*each) for each in news["all"])
            copy.take_listing(Listing(objects, news["revision"]))
        else:
            changes = [
                Change(revision, StoredObject(name, value, is_deleted))
                for revision, name, value, is_deleted in news["changes"]
            ]
            copy.take_changes(changes, news["revision"])

    # Being asked

    def begin(self, request):
        """Answer a peer once there is news, or after a while."""
        if any(follower.is_empty for follower in self._followers):
            # A peer that knows nothing either: whoever is asked fetches for both.
            self._list_missing()
        self._plan.note_asked(self.loop.seconds())
        known = {}
        for pair in request.target.partition(b"?")[2].split(b"&"):
            kind, _, revision = pair.partition(b"=")
            if revision.isdigit():
                known[kind.decode("latin-1")] = int(revision)
        if self._has_news(known):
            self._tell(request, known)
            return
        timer = self.loop.call_later(self._freshness.poll_s, self._tell, request, known)
        self._waiting[request] = known, timer

    def abandon(self, request):
        """Take note that a peer has left."""
        waiting = self._waiting.pop(request, None)
        if waiting is not None:
            waiting[1].cancel()

    def announce(self):
        """Answer the peers for whom there is news."""
        for request, (known, timer) in list(self._waiting.items()):
            if self._has_news(known):
                timer.cancel()
                self._tell(request, known)

    def _has_news(self, known):
        # Revisions rise with every call; only changes are worth an early answer.
        for kind, copy in self._copies.items():
            since = known.get(kind, 0)
            if copy.revision is None or copy.revision <= since:
                continue
            if copy.find_changes(since) != []:
                return True
        return False

    def _tell(self, request, known):
        self._waiting.pop(request, None)
        kinds = {
            kind: _format_news(copy, known.get(kind, 0))
            for kind, copy in self._copies.items()
            if copy.revision is not None and copy.revision > known.get(kind, 0)
        }
        request.answer(200, (), self._encode(self._compute_age(), kinds, known))

    def _compute_age(self):
        """Return how old this node's word from the store is, in seconds."""
        is_failing = any(follower.is_failing for follower in self._followers)
        if not self._was_following or is_failing or self._heard_store_at is None:
            # What a node has from others is of an age that it does not know.
            return UNKNOWN_AGE_S
        return self.loop.seconds() - self._heard_store_at

    def _encode(self, age_s, kinds, known):
        if not kinds:
            return zlib.compress(orjson.dumps({"age_s": age_s, "kinds": kinds}), 1)
        # Many peers ask for the same news at once, and then all get the same bytes.
        revisions = tuple(copy.revision for copy in self._copies.values())
        key = (revisions, tuple(sorted(known.items())), int(age_s * 4))
        if self._encoded is None or self._encoded[0] != key:
            text = orjson.dumps({"age_s": age_s, "kinds": kinds})
            self._encoded = key, zlib.compress(text, ZLIB_LEVEL)
        return self._encoded[1]


def _format_news(copy, since):
    changes = copy.find_changes(since)
    if changes is None or not since:
        everything = [[each.name, each.value] for each in copy.list_objects()]
        return {"revision": copy.revision, "all": everything, "changes": ()}
    rows = [
        [change.revision, each.name, each.value, each.is_deleted]
        for change in changes
        for each in (change.object,)
    ]
    return {"revision": copy.revision, "all": None, "changes": rows}


def _decode_news(body):
    """Unpack the words of a relay; raise ValueError for ones too large."""
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(body, MAX_NEWS_BYTES)
    if not unpacker.eof:
        raise ValueError(f"does not end within {MAX_NEWS_BYTES} bytes")
    return orjson.loads(data)
