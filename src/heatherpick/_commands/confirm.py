"""Wait until nodes have a version of a shared document."""

from heatherpick._commands.command import ExitCode
from heatherpick._commands.http import request, sleep
from heatherpick.errors import OperationFailed, RequestFailed

__all__ = ["confirm"]

#: Seconds between two looks at a node.
POLL_S = 0.2

MS_PER_S = 1000


async def confirm(arguments, context, written):
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
        If a node lacks the version after ``wait_ms``. What was written stays.
    """
    deadline = context.clock.seconds() + arguments.wait_ms / MS_PER_S
    missing = list(arguments.nodes)
    while missing:
        missing = [node for node in missing if not await _has(context, node, written)]
        if missing and context.clock.seconds() >= deadline:
            raise OperationFailed(
                f"{written.name} version {written.version} is written, but not "
                f"confirmed by {', '.join(missing)} within {arguments.wait_ms:g} ms"
            )
        if missing:
            await sleep(context.clock, POLL_S)
    if arguments.nodes:
        print(f"confirmed by {len(arguments.nodes)} nodes")
    return ExitCode.OK


async def _has(context, node, written):
    try:
        answer = await request(context, "GET", f"http://{node}/-/status", timeout_s=2)
    except RequestFailed:
        return False
    match answer.content:
        case {"documents": {written.name: int(version)}}:
            return version >= written.version
        case _:
            return False
