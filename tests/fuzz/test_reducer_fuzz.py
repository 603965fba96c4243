"""No sequence of events makes the reducer fail or answer a request twice."""

from collections import Counter
from dataclasses import fields
from typing import get_type_hints

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.shapes import Shape, build_declarations
from heatherpick._core import effects as fx
from heatherpick._core import events as ev
from heatherpick._core import messages as msg
from heatherpick._core.membership import Member, Membership, encode_membership
from heatherpick._core.reducer import NodeReducer
from heatherpick.declarations import Drains, encode_declarations, encode_drains
from heatherpick.settings import NodeSettings

SETTINGS = NodeSettings("n1", "dc-00", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
DECLARATIONS = build_declarations(Shape(4, 2))
NODES = st.sampled_from(["n1", "n2", "n3", "stranger"])
REQUESTS = st.sampled_from(["q1", "q2", "q3"])
UPSTREAMS = st.sampled_from([*DECLARATIONS.upstreams, "u-none"])
SMALL_INTEGERS = st.integers(0, 8)
SOLE_MEMBER = encode_membership(
    Membership().add(Member("n1", "127.0.0.1:2", "i1")).settle()
)
MEMBERS = encode_membership(
    Membership()
    .add(Member("n1", "127.0.0.1:2", "i1"))
    .add(Member("n2", "127.0.0.1:4", "i2"))
)
DOCUMENTS = st.sampled_from(
    [
        ("shared/declarations", encode_declarations(DECLARATIONS)),
        ("shared/drains", encode_drains(Drains(frozenset({"dc-01"})))),
        ("shared/drains", encode_drains(Drains())),
        ("shared/members/dc-00", MEMBERS),
        ("shared/members/dc-01", "{}"),
        ("shared/declarations", "no JSON"),
        ("claims/tail/0", "[]"),
    ]
)
TOKENS = st.sampled_from(["members:1", "members:2", "orders:1", "orders:claim/3"])
TIMERS = st.sampled_from(
    ["searches:q1", "searches:q9", "lifecycle:settled", "lifecycle:check"]
    + ["overload:probe", "admission:deadlines", "members:heartbeat", "members:view"]
    + ["orders:flush", "orders:none", "members:none"]
)
#: Strategies of fields by name; other fields are drawn by their type.
STRATEGIES_BY_FIELD = {
    "node": NODES,
    "request_id": REQUESTS,
    "upstream": UPSTREAMS,
    "service": st.sampled_from(["tail", "tail", "nightly", "none"]),
    "leg_id": SMALL_INTEGERS,
    "call_id": st.integers(0, 30),
    "version": st.integers(0, 2),
    "shard": SMALL_INTEGERS,
    "token": TOKENS,
    "data_centre": st.sampled_from(["dc-00", "dc-01", "elsewhere"]),
    "address": st.just("127.0.0.1:9"),
    "body": st.sampled_from(["{}", MEMBERS, "x"]),
    "query": st.just("{}"),
    "remaining_ms": st.sampled_from([-1.0, 0.0, 50.0, 1e12]),
    "deadline_ms": st.sampled_from([None, -5.0, 0.0, 20.0, 1e12]),
    "elapsed_ms": st.sampled_from([0.0, 3.0, 1e6]),
    "service_ms": st.just(1.0),
    "hits": st.just(({"id": "h", "score": 1.0},)),
    "live": st.frozensets(NODES),
    "leaving": st.booleans(),
}
EVENTS = [each for name in ev.__all__ if (each := getattr(ev, name))]
# Requests are drawn most often, as other events have no effect without them.
EVENTS += [ev.RequestArrived] * 6 + [ev.CallEnded, ev.OrderEnded] * 3
MESSAGES = [
    *(msg.Heartbeat, msg.LegBatch, msg.LegResults, msg.LegCancel),
    *(msg.KeyedCall, msg.KeyedResult, msg.DocumentRequest, msg.DocumentReply),
]


def build_strategy(cls):
    """Return the strategy of a data class, with known fields drawn by name."""
    hints = get_type_hints(cls)
    values = {
        each.name: STRATEGIES_BY_FIELD[each.name]
        if each.name in STRATEGIES_BY_FIELD
        else build_type_strategy(hints[each.name])
        for each in fields(cls)
    }
    if cls is ev.VmsListed:
        values["leaving"] = st.frozensets(NODES)
    return st.builds(cls, **values)


def build_type_strategy(hint):
    """Return the strategy of a field's type."""
    if hasattr(hint, "__dataclass_fields__"):
        return build_strategy(hint)
    arguments = getattr(hint, "__args__", ())
    if getattr(hint, "__origin__", None) is tuple:
        if arguments[-1] is Ellipsis:
            return st.lists(build_type_strategy(arguments[0]), max_size=4).map(tuple)
        return st.tuples(*[build_type_strategy(each) for each in arguments])
    if hint is int:
        return SMALL_INTEGERS
    if hint is str:
        return st.sampled_from(["", "a"])
    if hint is bytes:
        return st.binary(max_size=4)
    return st.from_type(hint)


def build_event_strategy(cls):
    """Return the strategy of an event; a peer's message is one of `MESSAGES`."""
    if cls is ev.PeerMessage:
        message = st.one_of([build_strategy(each) for each in MESSAGES])
        return st.builds(ev.PeerMessage, NODES, message)
    if cls is ev.TimerFired:
        return st.builds(ev.TimerFired, TIMERS)
    if cls is ev.DocumentSeen:
        return st.builds(
            lambda document, version: ev.DocumentSeen(
                document[0], version, document[1]
            ),
            DOCUMENTS,
            SMALL_INTEGERS,
        )
    return build_strategy(cls)


STEPS = st.lists(
    st.tuples(
        st.one_of([build_event_strategy(each) for each in EVENTS]),
        st.sampled_from([0.0, 0.001, 0.05, 0.3, 3.0]),
    ),
    min_size=5,
    max_size=40,
)


def count_answers(counts, effects):
    """Count answers by request and check that each effect is of a known class."""
    for effect in effects:
        assert type(effect).__name__ in fx.__all__
        if isinstance(effect, fx.AnswerCaller):
            counts[effect.request_id] += 1


@settings(derandomize=True, deadline=None, max_examples=300)
@given(STEPS, st.booleans())
def test_reducer_answers_each_request_at_most_once(steps, is_owner):
    reducer = NodeReducer.from_settings(SETTINGS, "i1", seed=7)
    now = 10.0
    n_answers, n_requests = Counter(), Counter()
    count_answers(n_answers, reducer.start(now))
    if is_owner:
        bodies = {
            "shared/declarations": encode_declarations(DECLARATIONS),
            "shared/members/dc-00": SOLE_MEMBER,
        }
        for name, body in bodies.items():
            event = ev.DocumentSeen(name, 1, body)
            count_answers(n_answers, reducer.reduce(event, now))
        now += 20.0
    for event, step in steps:
        now += step
        if isinstance(event, ev.RequestArrived):
            if n_requests[event.request_id]:
                continue
            n_requests[event.request_id] += 1
        count_answers(n_answers, reducer.reduce(event, now))
        reducer.describe(now)
    assert all(n_answers[each] <= n_requests[each] for each in n_answers)
