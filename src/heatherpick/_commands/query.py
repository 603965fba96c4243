"""Send a request to a service as a caller does and print response and time."""

import json
import secrets

from heatherpick._commands.arguments import add_node, make_number_parser
from heatherpick._commands.command import ExitCode, NetworkCommand
from heatherpick._commands.http import DEFAULT_TIMEOUT_S, HTTP_OK, request
from heatherpick._ini.value_types import NameType, quote
from heatherpick.errors import InvalidArgument, OperationFailed

__all__ = ["QueryCommand"]

MS_PER_S = 1000
MAX_DEADLINE_MS = 3_600_000

#: Number of hits that are printed.
MAX_HITS_SHOWN = 20

#: Statuses with which a node refuses a faulty request.
BAD_REQUEST_STATUSES = (400, 404, 413)


class QueryCommand(NetworkCommand):
    """Send one request to a service."""

    name = "query"
    summary = "send a search or an order to a service"
    description = (
        "Sends one request to a node and prints outcome, coverage, hits and time. "
        "Exits 0 if the outcome is answered or partial, else 1."
    )

    def add_arguments(self, parser):
        """Add service, node and request."""
        parser.add_argument("service", metavar="SERVICE", help="name of the service")
        add_node(parser)
        content = parser.add_mutually_exclusive_group(required=True)
        content.add_argument("--query", metavar="TEXT", help="text to search for")
        content.add_argument("--order", metavar="JSON", help="order, needs --key")
        parser.add_argument("--key", metavar="KEY", help="idempotency key of the order")
        parser.add_argument(
            "--deadline-ms",
            metavar="MS",
            type=make_number_parser(1, MAX_DEADLINE_MS),
            help="time to wait, if shorter than the service's deadline",
        )
        parser.add_argument(
            "--json", action="store_true", help="print the response as JSON"
        )

    async def execute(self, arguments, context):
        """Send the request and print the response."""
        content = _build_content(arguments)
        _check_key(arguments.key)
        trace_id = secrets.token_hex(16)
        started = context.clock.seconds()
        response = await request(
            context,
            "POST",
            f"http://{arguments.node}/v1/services/{_check_service(arguments.service)}",
            json=content,
            headers=_build_headers(arguments, trace_id),
            timeout_s=_choose_timeout(arguments),
        )
        elapsed_ms = (context.clock.seconds() - started) * MS_PER_S
        if arguments.json:
            print(json.dumps(response.content, indent=2))
        else:
            _print_response(_check_response(response))
            print(f"time: {elapsed_ms:.1f} ms")
            print(f"trace: {trace_id}")
        return _choose_exit_code(response)


def _build_content(arguments):
    if arguments.query is not None:
        return {"query": arguments.query}
    if not arguments.key:
        raise InvalidArgument(
            "--order needs --key, so that a repeat of the command is not a second order"
        )
    try:
        return {"order": json.loads(arguments.order)}
    except (ValueError, RecursionError) as error:
        raise InvalidArgument(f"--order is not JSON: {error}") from None


def _check_service(name):
    value_type = NameType()
    if value_type.parse(name).value_or(None) is None:
        raise InvalidArgument(f"SERVICE {quote(name)} is not {value_type.describe()}")
    return name


def _check_key(key):
    # A header cannot carry every text, and a key altered in transit is another key.
    if key is not None and not (key.isascii() and key.isprintable() and key.strip()):
        raise InvalidArgument(f"--key {quote(key)} is not printable ASCII")


def _build_headers(arguments, trace_id):
    headers = {"traceparent": f"00-{trace_id}-{secrets.token_hex(8)}-01"}
    if arguments.deadline_ms is not None:
        headers["Deadline-Ms"] = f"{arguments.deadline_ms:g}"
    if arguments.key:
        headers["Idempotency-Key"] = arguments.key
    return headers


def _choose_timeout(arguments):
    """Return the deadline, at which the node answers, plus time for the round trip."""
    return DEFAULT_TIMEOUT_S + (arguments.deadline_ms or 0) / MS_PER_S


def _check_response(response):
    if not isinstance(response.content, dict):
        raise OperationFailed(
            f"the node responds with status {response.status} and no JSON object"
        )
    return response.content


def _print_response(content):
    for key in ("outcome", "reason", "error", "body"):
        if content.get(key):
            print(f"{key}: {content[key]}")
    match content.get("coverage"):
        case {"n_shards": int(n_shards), "n_covered": n_covered} if n_shards:
            missing = _format_missing(content["coverage"])
            print(f"coverage: {n_covered} of {n_shards} shards{missing}")
            print(f"index version: {content.get('index_version')}")
    hits = content.get("hits")
    if isinstance(hits, list):
        _print_hits(hits)


def _format_missing(coverage):
    match coverage.get("missing"):
        case [_, *_] as missing:
            return f", missing: {', '.join(map(str, missing))}"
        case _:
            return ""


def _print_hits(hits):
    for hit in hits[:MAX_HITS_SHOWN]:
        print(f"hit: {json.dumps(hit)}")
    if len(hits) > MAX_HITS_SHOWN:
        print(f"... and {len(hits) - MAX_HITS_SHOWN} more hits")


def _choose_exit_code(response):
    if response.status in BAD_REQUEST_STATUSES:
        return ExitCode.BAD_INPUT
    return ExitCode.OK if response.status == HTTP_OK else ExitCode.FAILED
