"""The platform's object API over HTTP: objects, the watch and the list of VMs."""

from random import Random
from urllib.parse import quote

import orjson
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from heatherpick._core.effects import ListVms, ReadObject, SetWatch, WriteObject
from heatherpick._core.events import (
    DocumentSeen,
    ObjectConflict,
    ObjectFailed,
    ObjectRead,
    ObjectWritten,
    VmsListed,
)
from heatherpick.errors import FrameError

__all__ = ["Platform"]

MS_PER_S = 1000.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
#: Prefix of the documents that the watch follows.
WATCH_PREFIX = "shared/"
#: Seconds for which one call of the watch waits, and by which its answer may be late.
WATCH_WAIT_S = 20.0
WATCH_GRACE_S = 5.0
#: Seconds to wait for a new connection and for the list of VMs.
CONNECT_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 5.0
#: Seconds before the first and the slowest retry of a failed watch.
FIRST_RETRY_S = 0.2
SLOWEST_RETRY_S = 3.0


class Platform:
    """Carries out the reducer's calls to the platform.

    Parameters
    ----------
    feed : callable
        Takes an event.
    address : str
        ``ip:port`` of the platform, or "" where there is none.
    reactor : IReactorTCP and IReactorTime
        Opens connections and keeps the time.
    count : callable
        ``count(name, label)`` adds one to a counter.
    seed : int
        Seed of the spread of retries.
    """

    def __init__(self, feed, address, reactor, count, seed):
        self._feed = feed
        self._address = address
        self._clock = reactor
        self._count = count
        self._random = Random(seed)
        self._watch = None
        self._watch_token = None
        self._pool = HTTPConnectionPool(reactor)
        # A write that was sent twice could not be told from a conflict.
        self._pool.retryAutomatically = False
        agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._client = HTTPClient(agent)

    @property
    def carriers(self):
        """Dict of effect type to the method that carries it out."""
        return {
            ReadObject: self._read,
            WriteObject: self._write,
            SetWatch: self._set_watch,
            ListVms: self._list_vms,
        }

    def close(self):
        """Stop the watch and close the idle connections."""
        self._stop_watch()
        return self._pool.closeCachedConnections()

    def _read(self, effect):
        self._start(self._read_object(effect), effect)

    def _write(self, effect):
        self._start(self._write_object(effect), effect)

    def _start(self, exchange, effect):
        if not self._address:
            exchange.close()
            self._feed(ObjectFailed(effect.token, effect.name, sent=False))
            return
        calling = Deferred.fromCoroutine(exchange)
        calling.addTimeout(effect.timeout_ms / MS_PER_S, self._clock)
        calling.addErrback(self._describe_failure, effect)
        calling.addCallback(self._feed)

    def _describe_failure(self, failure, effect):
        self._count("platform_failed", failure.type.__name__)
        sent = failure.check(ConnectError, ConnectingCancelledError) is None
        return ObjectFailed(effect.token, effect.name, sent)

    async def _read_object(self, effect):
        status, content = await self._call("GET", _build_path(effect.name))
        if status == HTTP_NOT_FOUND:
            return ObjectRead(effect.token, effect.name, 0, "")
        if status != HTTP_OK:
            raise FrameError(f"status {status} in answer to a read")
        version, body = _read_content(content, effect.name)
        return ObjectRead(effect.token, effect.name, version, body)

    async def _write_object(self, effect):
        status, content = await self._call(
            "PUT",
            _build_path(effect.name),
            headers={"If-Match": str(effect.expected)},
            data=orjson.dumps({"body": effect.body}),
        )
        if status == HTTP_OK:
            version = _read_version(content)
            return ObjectWritten(effect.token, effect.name, version)
        if status == HTTP_CONFLICT:
            version, body = _read_content(content, effect.name)
            return ObjectConflict(effect.token, effect.name, version, body)
        raise FrameError(f"status {status} in answer to a write")

    async def _call(self, method, path, **options):
        response = await self._client.request(
            method, f"http://{self._address}{path}", **options
        )
        text = await readBody(response)
        if response.code == HTTP_NOT_FOUND:
            return response.code, {}
        return response.code, _parse(text)

    def _list_vms(self, _effect):
        if not self._address:
            return
        calling = Deferred.fromCoroutine(self._call("GET", "/v1/vms"))
        calling.addTimeout(LIST_TIMEOUT_S, self._clock)
        calling.addCallback(_read_vms)
        calling.addCallbacks(self._feed, self._count_failure)

    def _count_failure(self, failure):
        self._count("platform_failed", failure.type.__name__)

    def _set_watch(self, effect):
        if not effect.on:
            self._stop_watch()
        elif self._watch is None and self._address:
            self._watch_token = object()
            self._watch = Deferred.fromCoroutine(self._follow(self._watch_token))
            self._watch.addErrback(lambda failure: failure.trap(CancelledError))

    def _stop_watch(self):
        watch, self._watch = self._watch, None
        self._watch_token = None
        if watch is not None:
            watch.cancel()

    async def _follow(self, token):
        revision = 0
        n_failures = 0
        # A cancelled attempt to connect fails like any other, so the loop also
        # asks whether it is still wanted.
        while self._watch_token is token:
            try:
                revision = await self._follow_once(revision)
                n_failures = 0
            except Exception as error:
                n_failures += 1
                self._count("watch_failed", type(error).__name__)
                await self._pause(self._choose_delay(n_failures))

    async def _follow_once(self, revision):
        wait_ms = int(WATCH_WAIT_S * MS_PER_S)
        path = f"/v1/watch?prefix={WATCH_PREFIX}&since={revision}&timeout_ms={wait_ms}"
        calling = Deferred.fromCoroutine(self._call("GET", path))
        calling.addTimeout(WATCH_WAIT_S + WATCH_GRACE_S, self._clock)
        status, content = await calling
        if status != HTTP_OK:
            raise FrameError(f"status {status} in answer to a watch")
        revision, seen = _read_watch(content)
        for event in seen:
            self._feed(event)
        return revision

    def _choose_delay(self, n_failures):
        longest = min(SLOWEST_RETRY_S, FIRST_RETRY_S * 2 ** min(n_failures - 1, 16))
        return longest * (0.5 + 0.5 * self._random.random())

    def _pause(self, delay_s):
        pausing = Deferred(lambda _: timer.cancel())
        timer = self._clock.callLater(delay_s, pausing.callback, None)
        return pausing


def _build_path(name):
    return f"/v1/objects/{quote(name)}"


def _parse(text):
    try:
        content = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise FrameError("answer of the platform is not JSON") from error
    if type(content) is not dict:
        raise FrameError("answer of the platform is not an object")
    return content


def _read_version(content, key="version"):
    version = content.get(key)
    if type(version) is not int or version < 0:
        raise FrameError(f"{key} {version!r:.40} of the platform is not a number")
    return version


def _read_content(content, name=None):
    if name is not None and content.get("name") != name:
        raise FrameError(f"the platform answered {content.get('name')!r:.80}")
    version = _read_version(content)
    body = content.get("body")
    if version == 0 and body is None:
        body = ""
    if type(body) is not str:
        raise FrameError("body of an object is not text")
    return version, body


def _read_watch(content):
    revision = _read_version(content, "revision")
    objects = content.get("objects")
    if type(objects) is not list:
        raise FrameError("objects of a watch are not a list")
    return revision, [_read_seen(each) for each in objects]


def _read_seen(content):
    if type(content) is not dict:
        raise FrameError("object of a watch is not an object")
    name = content.get("name")
    if type(name) is not str or not name.startswith(WATCH_PREFIX):
        raise FrameError(f"watch gave {name!r:.80}")
    version, body = _read_content(content)
    return DocumentSeen(name, version, body)


def _read_vms(answer):
    status, content = answer
    if status != HTTP_OK:
        raise FrameError(f"status {status} in answer to a list")
    return VmsListed(
        _read_names(content.get("live")), _read_names(content.get("leaving"))
    )


def _read_names(names):
    if type(names) is not list or any(type(name) is not str for name in names):
        raise FrameError("list of VMs is not a list of names")
    return frozenset(names)
