"""Client of the platform's object service for operators' commands."""

from dataclasses import dataclass

from heatherpick._commands.http import request, sleep
from heatherpick.errors import (
    PlatformUnavailable,
    RequestFailed,
    WriteConflict,
    WriteOutcomeUnknown,
)

__all__ = ["PlatformClient", "PlatformObject"]

#: Attempts to read an object back after the response to a write was lost.
MAX_READ_BACKS = 5

#: Seconds between two attempts.
READ_BACK_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class PlatformObject:
    """An object of the store; version 0 means that there is none."""

    name: str
    version: int
    body: str


class PlatformClient:
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
            If the platform gives no usable response.
        """
        response = await self._request("GET", name)
        match response.status, response.content:
            case 404, _:
                return PlatformObject(name, 0, "")
            case 200, content:
                return _parse_object(name, content)
        raise PlatformUnavailable(
            f"GET {name}: status {response.status}", was_sent=True
        )

    async def write(self, name, expected_version, body):
        """Write an object if it is still at version ``expected_version`` (0: absent).

        If the response is lost, the object is read back. Only if it has not changed is
        the write repeated, under the same condition, so that it takes effect at most
        once.

        Returns
        -------
        PlatformObject
            The object as written.

        Raises
        ------
        PlatformUnavailable
            If the write certainly did not take effect.
        WriteConflict
            If another write came first.
        WriteOutcomeUnknown
            If the write may have taken effect and reading back fails too.
        """
        try:
            return await self._write_once(name, expected_version, body)
        except PlatformUnavailable as failure:
            if not failure.was_sent:
                raise
        for _ in range(MAX_READ_BACKS):
            current = await self._read_back(name)
            if current.version != expected_version:
                return _require_body(current, body)
            try:
                return await self._write_once(name, expected_version, body)
            except PlatformUnavailable:
                continue
        raise WriteOutcomeUnknown(f"{name}: the platform does not respond to the write")

    async def _write_once(self, name, expected_version, body):
        headers = {"If-Match": str(expected_version)}
        response = await self._request(
            "PUT", name, json={"body": body}, headers=headers
        )
        match response.status, response.content:
            case 200, {"version": int(version)}:
                return PlatformObject(name, version, body)
            case 409, content:
                return _require_body(_parse_object(name, content), body)
        raise PlatformUnavailable(
            f"PUT {name}: status {response.status}", was_sent=True
        )

    async def _read_back(self, name):
        for attempt in range(MAX_READ_BACKS):
            if attempt:
                await sleep(self._context.clock, READ_BACK_INTERVAL_S)
            try:
                return await self.read(name)
            except PlatformUnavailable as failure:
                last_failure = failure
        raise WriteOutcomeUnknown(
            f"{name}: the response to the write was lost, then {last_failure}"
        )

    async def _request(self, method, name, **options):
        url = f"http://{self._address}/v1/objects/{name}"
        try:
            return await request(self._context, method, url, **options)
        except RequestFailed as failure:
            raise PlatformUnavailable(str(failure), failure.was_sent) from None


def _require_body(current, body):
    """Return ``current`` if its body is ``body``, whoever wrote it.

    Raises
    ------
    WriteConflict
        If it holds another body.
    """
    if current.body != body:
        raise WriteConflict(current)
    return current


def _parse_object(name, content):
    match content:
        case {"version": int(version), "body": str(body)}:
            return PlatformObject(name, version, body)
        case _:
            message = f"{name}: the platform's response is not an object"
            raise PlatformUnavailable(message, was_sent=True)
