"""HTTP client of the platform's object API."""

from random import Random
from urllib.parse import quote

import orjson

from heatherpick._core.effects import ListVms, ReadObject, SetWatch, WriteObject
from heatherpick._core.events import ObjectFailed
from heatherpick._shell.exchanges import ExchangePool
from heatherpick._shell.platform_responses import (
    parse_read_response,
    parse_vms_response,
    parse_write_response,
)
from heatherpick._shell.watch import DocumentWatch
from heatherpick.errors import FrameError

__all__ = ["PlatformClient"]

MS_PER_S = 1000.0
#: Timeout of a request for the list of VMs, in seconds.
LIST_TIMEOUT_S = 5.0


class PlatformClient:
    """Executes the reducer's calls to the platform.

    Parameters
    ----------
    feed : callable
        ``feed(event)`` passes an event to the reducer.
    address : str
        ``ip:port`` of the platform, or "" if there is none.
    reactor : IReactorTCP and IReactorTime
        Opens connections and provides timers.
    count : callable
        ``count(name, label)`` increments a counter by one.
    seed : int
        Seed of the random jitter of retry delays.
    """

    def __init__(self, feed, address, reactor, count, seed):
        self._feed = feed
        self._address = address
        self._reactor = reactor
        self._count = count
        self._random = Random(seed)
        self._pool = ExchangePool(reactor)
        self._watch = None

    @property
    def effect_handlers(self):
        """Dict of effect type to the handler of that effect."""
        return {
            ReadObject: self._read_object,
            WriteObject: self._write_object,
            SetWatch: self._set_watch,
            ListVms: self._list_vms,
        }

    def close(self):
        """Stop the watch and close the idle connections."""
        self._set_watch(SetWatch(False))
        self._pool.close()

    def _read_object(self, effect):
        if self._fail_without_platform(effect):
            return
        self._get(
            f"/v1/objects/{quote(effect.name)}",
            effect.timeout_ms / MS_PER_S,
            lambda result: self._feed_result(parse_read_response(effect, result)),
        )

    def _write_object(self, effect):
        if self._fail_without_platform(effect):
            return
        self._pool.request(
            b"PUT",
            self._address,
            f"/v1/objects/{quote(effect.name)}".encode(),
            {b"if-match": b"%d" % effect.expected_version},
            orjson.dumps({"body": effect.body}),
            effect.timeout_ms / MS_PER_S,
            lambda result: self._feed_result(parse_write_response(effect, result)),
        )

    def _fail_without_platform(self, effect):
        """Fail the effect and return True if there is no platform."""
        if not self._address:
            self._feed_result(ObjectFailed(effect.token, effect.name, sent=False))
        return not self._address

    def _feed_result(self, event):
        if type(event) is ObjectFailed:
            self._count("platform_failed", "sent" if event.sent else "unsent")
        self._feed(event)

    def _get(self, path, timeout_s, on_done):
        return self._pool.request(
            b"GET", self._address, path.encode(), {}, None, timeout_s, on_done
        )

    def _set_watch(self, effect):
        if effect.on and self._watch is None and self._address:
            self._watch = DocumentWatch(
                self._feed, self._get, self._reactor, self._count, self._random
            )
            self._watch.poll()
        elif not effect.on and self._watch is not None:
            self._watch.close()
            self._watch = None

    def _list_vms(self, _effect):
        if self._address:
            self._get("/v1/vms", LIST_TIMEOUT_S, self._handle_vm_list)

    def _handle_vm_list(self, result):
        try:
            self._feed(parse_vms_response(result))
        except FrameError as error:
            self._count("list_failed", str(error))
