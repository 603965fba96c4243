"""Requests planned ahead, each with its time of arrival, from a seed."""

from dataclasses import dataclass
from random import Random

__all__ = ["Load", "PlannedRequest", "plan_requests"]

_MS_PER_S = 1000.0
_WORDS = ("birch", "pine", "spruce", "larch", "spinach", "fruit", "bread", "lentil")


@dataclass(frozen=True, slots=True)
class Load:
    """What callers ask for, how often and how long.

    Parameters
    ----------
    rate : float
        Arrivals a second, repeats of orders not counted.
    seconds : float
        Time for which new requests arrive.
    searches : tuple of tuple of str
        Service and shard set of each kind of search; all kinds are equally
        frequent, so one that stands twice comes twice as often.
    orders : tuple of str
        Services of each kind of order.
    order_share : float
        Share of orders among the arrivals, 0 to 1.
    n_repeats : int
        Times that each order is sent again with the same key.
    repeat_after_ms : float
        Time from one sending of an order to the next.
    n_queries : int
        Number of different queries.
    n_requests : int
        Most requests that are planned.
    seed : int
        Seed of arrivals, kinds, queries and keys.
    """

    rate: float
    seconds: float
    searches: tuple[tuple[str, str], ...] = ()
    orders: tuple[str, ...] = ()
    order_share: float = 0.0
    n_repeats: int = 0
    repeat_after_ms: float = 0.0
    n_queries: int = 1000
    n_requests: int = 100_000
    seed: int = 0


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request.

    Parameters
    ----------
    number : int
        Position in the plan, from 0.
    at : float
        Time of arrival in seconds from the start of the run.
    service : str
        Service that is asked.
    content : object
        The query or the order.
    shard_set : str
        Shard set of a search, "" for an order.
    key : str
        Idempotency key of an order, "" for a search.
    """

    number: int
    at: float
    service: str
    content: object
    shard_set: str = ""
    key: str = ""

    @property
    def is_order(self):
        """Whether the request may run only once."""
        return bool(self.key)

    def to_json(self):
        """Return the body of the request as a JSON object."""
        return {"order" if self.is_order else "query": self.content}


def plan_requests(load):
    """Return the `PlannedRequest` of a whole run, by time of arrival.

    The times between arrivals are exponential, as those of independent callers.
    The same `Load` gives the same plan.
    """
    random = Random(load.seed)
    drafts = []
    at = random.expovariate(load.rate)
    while at < load.seconds and len(drafts) < load.n_requests:
        drafts.extend(_draft_arrival(load, random, at, len(drafts)))
        at += random.expovariate(load.rate)
    drafts.sort(key=lambda draft: draft["at"])
    drafts = drafts[: load.n_requests]
    return [PlannedRequest(number, **draft) for number, draft in enumerate(drafts)]


def _draft_arrival(load, random, at, n_before):
    wants_order = random.random() < load.order_share
    if load.orders and (wants_order or not load.searches):
        return _draft_order(load, random, at, n_before)
    service, shard_set = random.choice(load.searches)
    number = random.randrange(load.n_queries)
    content = f"{_WORDS[number % len(_WORDS)]} {number}"
    return [{"at": at, "service": service, "content": content, "shard_set": shard_set}]


def _draft_order(load, random, at, n_before):
    key = f"order-{load.seed}-{n_before}"
    draft = {
        "service": random.choice(load.orders),
        "content": {"item": random.choice(_WORDS), "amount": random.randrange(1, 50)},
        "key": key,
    }
    step = load.repeat_after_ms / _MS_PER_S
    return [draft | {"at": at + n * step} for n in range(load.n_repeats + 1)]
