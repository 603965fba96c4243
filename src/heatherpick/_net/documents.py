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
from heatherpick._fleet.relays import LOOK_S
from heatherpick._net.peers import TIMEOUT

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
#: Time after which a watch without an answer is asked anew if the store has changed
#: meanwhile, in seconds: news of one kind must not hide those of another.
SILENT_S = 8.0
#: Time from the start until a node looks for relays, in seconds. Nodes that start
#: together have written where they are by then.
SETTLE_S = 1.5
#: Age of a question at whose answer the next one follows at once, in seconds. After a
#: younger one the next look decides, so that no two nodes keep each other busy.
LEAST_POLL_S = 0.05
#: Peers that a node asks at a time while it hears of the store from nobody.
MAX_POLLS = 3
#: Level of compression: links of small VMs are narrow and declarations repetitive.
ZLIB_LEVEL = 3
#: Largest words of a relay once unpacked, in bytes: thousands of upstreams and nodes
#: and declarations of a megabyte.
MAX_NEWS_BYTES = 16 * 1024 * 1024
PATH = b"/changes"
#: Fields of a question between nodes: who asks, whether it hears the store, and whether
#: it hears of the store at all.
FROM = "from"
IS_SOURCE = "is-source"
HAS_WORD = "has-word"
#: Headers of the answer: nodes that have heard the store, each with the age of its word
#: when the question came, in seconds, below 0 if it is newer; and how long ago the
#: store was out of reach, in seconds, if that was a short while ago.
SOURCES_HEADER = b"x-heatherpick-store-heard"
AWAY_HEADER = b"x-heatherpick-store-away"


class _StorePace:
    """Paces the calls of a node to a store that does not answer it.

    However many followers have failed, the node asks one small question at a time, at a
    pause that grows; once the store answers, all followers go on.

    Parameters
    ----------
    keeper : DocumentKeeper
        The node's copies.
    """

    def __init__(self, keeper):
        self._keeper = keeper
        self._failed = []
        self._timer = None
        self._n_failures = 0

    @property
    def is_lost(self):
        """Whether the store did not answer the newest call."""
        return self._n_failures > 0

    def note_answer(self):
        """Let all followers go on."""
        self.stop()
        failed, self._failed = self._failed, []
        for follower in failed:
            follower.go_on()

    def note_failure(self, follower=None):
        """Ask again after a pause, and let a follower wait for the answer."""
        if follower is not None and follower not in self._failed:
            self._failed.append(follower)
        if self._timer is None:
            pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self._n_failures)
            pause_s *= 0.5 + self._keeper.rng.random()
            self._n_failures = min(self._n_failures + 1, 8)
            self._timer = self._keeper.loop.call_later(pause_s, self._try_again)

    def stop(self):
        """Ask no more."""
        self._n_failures = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _try_again(self):
        self._timer = None
        self._keeper.probe_store()


class _StoreFollower:
    """Follows one kind at the store, over every failure, while it is wanted."""

    def __init__(self, keeper, copy):
        self._keeper = keeper
        self._copy = copy
        self._cancel = None
        self._timer = None
        self._asked_at = 0.0
        self.is_wanted = False

    def is_behind(self, revision, now):
        """Return whether a watch has been silent for long while the store changed."""
        return (
            self._cancel is not None
            and (self._copy.revision or 0) < revision
            and now - self._asked_at > SILENT_S
        )

    def start(self):
        """Follow the store from now on."""
        if not self.is_wanted:
            self.is_wanted = True
            self.go_on()

    def stop(self):
        """Follow the store no more."""
        self.is_wanted = False
        self._give_up()

    def restart(self):
        """Ask again, as the present call may never be answered."""
        self._give_up()
        self.go_on()

    def _give_up(self):
        if self._cancel is not None:
            self._cancel()
            self._cancel = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def go_on(self):
        """Ask the store unless it is being asked."""
        self._timer = None
        if not self.is_wanted or self._cancel is not None:
            return
        store = self._keeper.store
        self._asked_at = self._keeper.loop.seconds()
        if self._copy.revision is None:
            self._cancel = store.list_objects(self._copy.kind, self._take)
        else:
            self._cancel = store.watch_objects(
                self._copy.kind, self._copy.revision, self._take
            )

    def _take(self, result):
        self._cancel = None
        if type(result) is StoreFailure:
            self._keeper.lose_store(result.reason, self)
            return
        self._keeper.note_store()
        if type(result) is HistoryGone:
            self._report("history of the store is gone")
            self._cancel = self._keeper.store.list_objects(self._copy.kind, self._take)
            return
        pause_s = 0.0
        if type(result) is Listing:
            self._copy.take_listing(result)
        else:
            changes = [Change(result.revision, each) for each in result.objects]
            self._copy.take_changes(changes, result.revision)
            pause_s = GATHER_S if changes else 0.0
        self._keeper.announce()
        if self.is_wanted and self._timer is None:
            self._timer = self._keeper.loop.call_later(pause_s, self.go_on)

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
    peers : Peers
        Asks other nodes.
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
    own : str
        Address at which peers ask this node.
    """

    def __init__(self, loop, store, peers, copies, plan, freshness, report, rng, own):
        self.loop = loop
        self.store = store
        self._peers = peers
        self.report = report
        self.rng = rng
        self.pace = _StorePace(self)
        self._own = own
        self._copies = {copy.kind: copy for copy in copies}
        self._plan = plan
        self._freshness = freshness
        self._followers = [_StoreFollower(self, copy) for copy in copies]
        #: Called with the time of each answer of the store, to this node or a relay.
        self.heard_store = lambda now: None
        self._away_at = float("-inf")
        # The same of the node that told what this one is taking in.
        self._is_told_away = False
        self._told_away_at = float("-inf")
        self._is_probing = False
        self._is_asking_revision = False
        self._polls = set()
        self._waiting = {}
        self._was_following = None
        self._encoded = None

    def start(self, host, port):
        """Fetch everything once, and serve peers at an address."""
        self._peers.listen(host, port, self.begin, self.abandon)
        self._look()
        self.loop.call_later(
            SETTLE_S * (1.0 + 0.2 * self.rng.random()), self._plan.settle
        )
        self.loop.call_later(SETTLE_S, self._ask_revision)

    def was_store_away(self):
        """Return whether entries may have lapsed because the store was out of reach.

        What counts is whom this node hears it from: a relay that cannot reach the store
        says nothing about the entries that another one has seen go.
        """
        return self._is_told_away or self.loop.seconds() - self._away_at < AWAY_S

    def note_store(self):
        """Take note that the store has answered."""
        now = self.loop.seconds()
        was_searching = self._plan.is_searching(now)
        if self._plan.is_alone(now) and self._plan.was_told_of_loss(now):
            self._away_at = now
        if self.pace.is_lost:
            self.report("store regained")
        self._plan.note_store(now)
        self.pace.note_answer()
        self.heard_store(now)
        if was_searching:
            self._tell_all()

    def lose_store(self, reason, follower=None):
        """Take note that the store is out of reach, and tell peers that wait."""
        self._away_at = self.loop.seconds()
        if not self.pace.is_lost:
            self.report("store lost", reason=reason)
            self._plan.note_store_lost()
            self._tell_all()
        if self._plan.follows_store:
            self.pace.note_failure(follower)

    # The store

    def _look(self):
        self.loop.call_later(LOOK_S, self._look)
        now = self.loop.seconds()
        self._ask_relays(now)
        if len(self._polls) < MAX_POLLS:
            peer = self._plan.choose_peer(now)
            if peer is not None and peer not in self._polls:
                self._poll(peer)
        self._follow()
        if self._plan.is_probe_due(now):
            self.probe_store()

    def _follow(self):
        """Follow the store or relays, as the plan says."""
        follows = self._plan.follows_store
        if follows == self._was_following:
            return
        self._was_following = follows
        self.report("follows the store" if follows else "follows relays")
        for follower in self._followers:
            if follows:
                follower.start()
            else:
                follower.stop()
        if not follows:
            self.pace.stop()

    def probe_store(self):
        """Find out whether the store answers this node."""
        if not self._is_probing:
            self._is_probing = True
            self.store.read_revision(self._take_probe)

    def _take_probe(self, revision):
        self._is_probing = False
        if type(revision) is StoreFailure:
            self.lose_store(revision.reason)
            return
        self.note_store()
        self._follow()

    def _ask_revision(self):
        self.loop.call_later(self._freshness.revision_s, self._ask_revision)
        is_due = self._was_following and not self.pace.is_lost
        if is_due and not self._is_asking_revision:
            self._is_asking_revision = True
            self.store.read_revision(self._take_revision)

    def _take_revision(self, revision):
        self._is_asking_revision = False
        if type(revision) is StoreFailure:
            # Watches that wait would hide for long that the store is lost.
            self.lose_store(revision.reason)
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
        now = self.loop.seconds()
        target = "&".join(
            f"{kind}={copy.revision or 0}" for kind, copy in self._copies.items()
        )
        target += f"&{FROM}={self._own}"
        if self._plan.is_source:
            target += f"&{IS_SOURCE}=1"
        if not self._plan.needs_word(address, now):
            target += f"&{HAS_WORD}=1"
        self._polls.add(address)
        self._peers.ask(
            address,
            b"%s?%s" % (PATH, target.encode()),
            self._freshness.poll_timeout_s,
            lambda answer, reason: self._take_poll(address, now, answer, reason),
        )

    def _take_poll(self, address, asked_at, answer, reason):
        self._polls.discard(address)
        if answer is None or answer.status != 200:
            is_silent = answer is None and reason.endswith(TIMEOUT)
            reason = reason or f"status {answer.status}"
            self._fail_poll(address, reason, is_silent)
            return
        try:
            sources = _read_sources(answer.by_name, asked_at)
            if AWAY_HEADER in answer.by_name:
                told_at = self.loop.seconds() - float(answer.by_name[AWAY_HEADER])
                self._told_away_at = max(self._told_away_at, told_at)
                self._is_told_away = True
            for kind, news in _decode_news(answer.body).items():
                self._take_news(kind, news)
        except (ValueError, KeyError, TypeError, zlib.error) as error:
            self._fail_poll(address, f"not understood: {error!r}", is_silent=True)
            return
        finally:
            self._is_told_away = False
        now = self.loop.seconds()
        was_searching = self._plan.is_searching(now)
        self._plan.note_answer(address, sources, now)
        if sources:
            # A node that counts as cut off gets no requests, and must hear otherwise.
            self.heard_store(max(sources.values()))
        if now - asked_at >= LEAST_POLL_S:
            self._ask_relays(now)
        if was_searching and not self._plan.is_searching(now):
            self._tell_all()
        else:
            self.announce()

    def _ask_relays(self, now):
        for address in self._plan.choose_relays(now):
            if address not in self._polls:
                self._poll(address)

    def _fail_poll(self, address, reason, is_silent):
        self.report("relay lost", relay=address, reason=reason)
        self._plan.note_failure(address, self.loop.seconds(), is_silent)

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
        asked = _parse_question(request.target)
        now = self.loop.seconds()
        has_word = asked.pop(HAS_WORD, 0)
        is_source = bool(asked.pop(IS_SOURCE, 0))
        self._plan.note_asked(asked.pop(FROM, ""), is_source, now)
        if has_word:
            # It hears of the store elsewhere and is better told at once to stay there.
            is_urgent = not self._plan.is_source
        else:
            is_urgent = self._plan.has_word(now)
        if is_urgent or self._has_news(asked):
            self._tell(request, asked, now)
            return
        timer = self.loop.call_later(
            self._freshness.poll_s, self._tell, request, asked, now
        )
        self._waiting[request] = asked, timer, now

    def abandon(self, request):
        """Take note that a peer has left."""
        waiting = self._waiting.pop(request, None)
        if waiting is not None:
            waiting[1].cancel()

    def announce(self):
        """Answer the peers for whom there is news."""
        for request, (known, timer, asked_at) in list(self._waiting.items()):
            if self._has_news(known):
                timer.cancel()
                self._tell(request, known, asked_at)

    def _tell_all(self):
        """Answer all peers that wait, as there is news of the store itself."""
        for request, (known, timer, asked_at) in list(self._waiting.items()):
            timer.cancel()
            self._tell(request, known, asked_at)

    def _has_news(self, known):
        # Revisions rise with every call; only changes are worth an early answer.
        for kind, copy in self._copies.items():
            since = known.get(kind, 0)
            if copy.revision is None or copy.revision <= since:
                continue
            if copy.find_changes(since) != []:
                return True
        return False

    def _tell(self, request, known, asked_at):
        self._waiting.pop(request, None)
        kinds = {
            kind: _format_news(copy, known.get(kind, 0))
            for kind, copy in self._copies.items()
            if copy.revision is not None and copy.revision > known.get(kind, 0)
        }
        headers = []
        now = self.loop.seconds()
        # Ages count from the question, as the clocks of two nodes differ.
        words = [
            f"{address}={age_s - (now - asked_at):.3f}"
            for address, age_s in self._plan.list_sources(now)
        ]
        if words:
            headers.append((SOURCES_HEADER, ",".join(words).encode()))
        away_s = now - max(self._away_at, self._told_away_at)
        if away_s < AWAY_S:
            headers.append((AWAY_HEADER, b"%.3f" % away_s))
        request.respond(200, headers, self._encode(kinds, known))

    def _encode(self, kinds, known):
        if not kinds:
            return b""
        # Many peers ask for the same news at once, and then all get the same bytes.
        revisions = tuple(copy.revision for copy in self._copies.values())
        key = revisions, tuple(sorted(known.items()))
        if self._encoded is None or self._encoded[0] != key:
            self._encoded = key, zlib.compress(orjson.dumps(kinds), ZLIB_LEVEL)
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
    if not body:
        return {}
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(body, MAX_NEWS_BYTES)
    if not unpacker.eof:
        raise ValueError(f"does not end within {MAX_NEWS_BYTES} bytes")
    return orjson.loads(data)


def _read_sources(by_name, asked_at):
    """Return the nodes that a peer knows to have heard the store, and when."""
    sources = {}
    for word in by_name.get(SOURCES_HEADER, b"").decode("latin-1").split(","):
        address, _, age_s = word.partition("=")
        if address:
            # The peer was asked after ``asked_at``, so the word is no older than this.
            sources[address] = asked_at - float(age_s)
    return sources


def _parse_question(target):
    """Return what a peer knows by kind, its own address and whether it has word."""
    asked = {}
    for pair in target.decode("latin-1").partition("?")[2].split("&"):
        name, _, value = pair.partition("=")
        if name == FROM:
            asked[name] = value
        elif value.isdigit():
            asked[name] = int(value)
    return asked
