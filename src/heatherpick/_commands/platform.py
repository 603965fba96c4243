"""The platform's object service, as operators' commands use it."""

from dataclasses import dataclass

from heatherpick._commands.http import request, sleep
from heatherpick.errors import (
    PlatformUnavailable,
    RequestFailed,
    WriteConflict,
    WriteOutcomeUnknown,
)

__all__ = ["Platform", "PlatformObject"]

#: Attempts to read back after the answer of a write was lost.
N_READ_BACKS = 5

#: Seconds between two of them.
READ_BACK_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class PlatformObject:
    """An object of the store; version 0 means that there is none."""

    name: str
    version: int
    body: str


class Platform:
    """Client of one platform.

    Parameters
    ----------
    context : Context
        HTTP client and clock.
    address : str
        ``ip:port`` of the platform.
    """

    def __init__(self, context, address):
        self._context = context
        self._address = address

    async def read(self, name):
        """Return a `PlatformObject`.

        Raises
        ------
        PlatformUnavailable
            If the platform gives no usable answer.
        """
        answer = await self._request("GET", name)
        match answer.status, answer.content:
            case 404, _:
                return PlatformObject(name, 0, "")
            case 200, content:
                return _parse_object(name, content)
        raise PlatformUnavailable(f"GET {name}: status {answer.status}", was_sent=True)

    async def write(self, name, expected, body):
        """Write an object if it is still at version ``expected`` (0: absent).

        A lost answer is resolved by reading back. Only when that shows that the
        object has not changed is the write sent again, under the same condition:
        so it takes effect at most once.

        Returns
        -------
        PlatformObject
            The object as written.

        Raises
        ------
        PlatformUnavailable
            If the write surely did not take effect.
        WriteConflict
            If another write came first.
        WriteOutcomeUnknown
            If the write may have taken effect and reading back fails too.
        """
        try:
            return await self._write_once(name, expected, body)
        except PlatformUnavailable as failure:
            if not failure.was_sent:
                raise
        for _ in range(N_READ_BACKS):
            current = await self._read_back(name)
            if current.version != expected:
                return _compare(current, body)
            try:
                return await self._write_once(name, expected, body)
            except PlatformUnavailable:
                continue
        raise WriteOutcomeUnknown(f"{name}: the platform gives no answer to the write")

    async def _write_once(self, name, expected, body):
        headers = {"If-Match": str(expected)}
        answer = await self._request("PUT", name, json={"body": body}, headers=headers)
        match answer.status, answer.content:
            case 200, {"version": int(version)}:
                return PlatformObject(name, version, body)
            case 409, content:
                return _compare(_parse_object(name, content), body)
        raise PlatformUnavailable(f"PUT {name}: status {answer.status}", was_sent=True)

    async def _read_back(self, name):
        for attempt in range(N_READ_BACKS):
            if attempt:
                await sleep(self._context.clock, READ_BACK_AFTER_S)
            try:
                return await self.read(name)
            except PlatformUnavailable as failure:
                last = failure
        raise WriteOutcomeUnknown(
            f"{name}: the answer of the write was lost, then {last}"
        )

    async def _request(self, method, name, **options):
        url = f"http://{self._address}/v1/objects/{name}"
        try:
            return await request(self._context, method, url, **options)
        except RequestFailed as failure:
            raise PlatformUnavailable(str(failure), failure.was_sent) from None


def _compare(current, body):
    """Return ``current`` if it holds ``body``, whoever wrote it; else raise."""
    if current.body != body:
        raise WriteConflict(current)
    return current


def _parse_object(name, content):
    match content:
        case {"version": int(version), "body": str(body)}:
            return PlatformObject(name, version, body)
        case _:
            message = f"{name}: the platform's answer is not an object"
            raise PlatformUnavailable(message, was_sent=True)
