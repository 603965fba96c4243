"""Plans the requests of a run and their arrival times from a seed."""

from dataclasses import dataclass
from random import Random

__all__ = ["Load", "PlannedRequest", "plan_requests"]

_MS_PER_S = 1000.0
_WORDS = ("birch", "pine", "spruce", "larch", "spinach", "fruit", "bread", "lentil")


@dataclass(frozen=True, slots=True)
class Load:
    """Workload of a run: its kinds of requests, arrival rate and duration.

    Parameters
    ----------
    rate : float
        Arrivals per second, not counting repeats of orders.
    seconds : float
        Time for which new requests arrive.
    searches : tuple of tuple of str
        Service and shard set of each kind of search; all entries are equally
        frequent, so a kind that is listed twice comes twice as often.
    orders : tuple of str
        Services of each kind of order.
    order_share : float
        Share of orders among the arrivals, 0 to 1.
    n_repeats : int
        Number of times that each order is sent again with the same key.
    repeat_after_ms : float
        Time between two repeats of an order.
    n_queries : int
        Number of different queries.
    n_requests : int
        Largest number of requests, repeats included.
    seed : int
        Seed of arrival times, kinds, queries and keys.
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
    """One request of a plan.

    Parameters
    ----------
    number : int
        Position in the plan, from 0.
    arrival_s : float
        Time of arrival in seconds from the start of the run.
    service : str
        Service that the request addresses.
    content : object
        The query or the order.
    shard_set : str
        Shard set of a search, "" for an order.
    key : str
        Idempotency key of an order, "" for a search.
    """

    number: int
    arrival_s: float
    service: str
    content: object
    shard_set: str = ""
    key: str = ""

    @property
    def is_order(self):
        """Whether the request is an order, which may run only once."""
        return bool(self.key)

    def to_json(self):
        """Return the body of the HTTP request as a JSON object."""
        return {"order" if self.is_order else "query": self.content}


def plan_requests(load):
    """Return the list of `PlannedRequest` of a whole run, by time of arrival.

    The times between arrivals are exponentially distributed, as those of independent
    callers. The same `Load` always gives the same plan.
    """
    random = Random(load.seed)
    # A draft holds all fields of a request but its number, which depends on the order
    # of arrival.
    drafts = []
    arrival_s = random.expovariate(load.rate)
    while arrival_s < load.seconds and len(drafts) < load.n_requests:
        drafts.extend(_draft_arrival(load, random, arrival_s, len(drafts)))
        arrival_s += random.expovariate(load.rate)
    drafts.sort(key=lambda draft: draft["arrival_s"])
    drafts = drafts[: load.n_requests]
    return [PlannedRequest(number, **draft) for number, draft in enumerate(drafts)]


def _draft_arrival(load, random, arrival_s, n_drafts):
    wants_order = random.random() < load.order_share
    if load.orders and (wants_order or not load.searches):
        return _draft_order(load, random, arrival_s, n_drafts)
    service, shard_set = random.choice(load.searches)
    query_number = random.randrange(load.n_queries)
    content = f"{_WORDS[query_number % len(_WORDS)]} {query_number}"
    return [
        {
            "arrival_s": arrival_s,
            "service": service,
            "content": content,
            "shard_set": shard_set,
        }
    ]


def _draft_order(load, random, arrival_s, n_drafts):
    key = f"order-{load.seed}-{n_drafts}"
    draft = {
        "service": random.choice(load.orders),
        "content": {"item": random.choice(_WORDS), "amount": random.randrange(1, 50)},
        "key": key,
    }
    interval_s = load.repeat_after_ms / _MS_PER_S
    return [
        draft | {"arrival_s": arrival_s + n * interval_s}
        for n in range(load.n_repeats + 1)
    ]
