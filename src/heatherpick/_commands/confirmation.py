"""Confirmation that nodes have a version of a shared document."""

from heatherpick._commands.command import ExitCode
from heatherpick._commands.http import request, sleep
from heatherpick.errors import OperationFailed, RequestFailed

__all__ = ["wait_for_confirmation"]

#: Seconds between two polls of a node's status.
POLL_INTERVAL_S = 0.2

MS_PER_S = 1000


async def wait_for_confirmation(arguments, context, written):
    """Wait until every node of ``--nodes`` has an object's version or a newer one.

    Parameters
    ----------
    arguments : argparse.Namespace
        Holds ``nodes`` and ``wait_ms``.
    context : Context
        HTTP client and clock.
    written : PlatformObject
        The object as written.

    Returns
    -------
    ExitCode
        OK.

    Raises
    ------
    OperationFailed
        If a node lacks the version after ``wait_ms``. The write is not undone.
    """
    deadline = context.clock.seconds() + arguments.wait_ms / MS_PER_S
    unconfirmed = list(arguments.nodes)
    while unconfirmed:
        unconfirmed = [
            node
            for node in unconfirmed
            if not await _has_version(context, node, written)
        ]
        if unconfirmed and context.clock.seconds() >= deadline:
            raise OperationFailed(
                f"{written.name} version {written.version} is written, but not "
                f"confirmed by {', '.join(unconfirmed)} within {arguments.wait_ms:g} ms"
            )
        if unconfirmed:
            await sleep(context.clock, POLL_INTERVAL_S)
    if arguments.nodes:
        print(f"confirmed by {len(arguments.nodes)} nodes")
    return ExitCode.OK


async def _has_version(context, node, written):
    try:
        response = await request(context, "GET", f"http://{node}/-/status", timeout_s=2)
    except RequestFailed:
        return False
    match response.content:
        case {"documents": {written.name: int(version)}}:
            return version >= written.version
        case _:
            return False
