"""Hits of each shard as a pure function, so that a checker can recompute them."""

import orjson
import xxhash

__all__ = ["canonicalise_query", "compute_hits"]

_MAX_HITS = 3
_N_DOCUMENTS = 10_000
_SCORE_STEPS = 1_000_000


def canonicalise_query(query):
    """Return the canonical JSON text of a query, given as JSON value or as JSON text.

    Examples
    --------
    >>> canonicalise_query({"b": 1, "a": 2}) == canonicalise_query('{"a":2,"b":1}')
    True
    """
    if isinstance(query, str):
        try:
            query = orjson.loads(query)
        except orjson.JSONDecodeError:
            pass
    return orjson.dumps(query, option=orjson.OPT_SORT_KEYS).decode()


def compute_hits(shard_set, version, shard, query):
    """Return the hits of one shard at one index version for one query.

    They depend on all four arguments and on nothing else, so a response that
    mixes versions, shards or queries differs from the correct one.

    Parameters
    ----------
    shard_set : str
        Name of the shard set.
    version : int
        Index version.
    shard : int
        Number of the shard.
    query : object
        The query as a JSON value or as JSON text.

    Returns
    -------
    list of dict
        Hits with ``id`` and ``score`` (0 to 1), best first.
    """
    text = canonicalise_query(query)
    hash_input = f"{shard_set}/{version}/{shard}/{text}"
    digest = xxhash.xxh64_intdigest(hash_input.encode())
    n_hits = 1 + digest % _MAX_HITS
    hits = [_make_hit(shard_set, version, shard, digest, n) for n in range(n_hits)]
    return sorted(hits, key=lambda hit: (-hit["score"], hit["id"]))


def _make_hit(shard_set, version, shard, digest, n):
    hit_digest = xxhash.xxh64_intdigest(digest.to_bytes(8, "big"), seed=n)
    document = hit_digest % _N_DOCUMENTS
    score = hit_digest // _N_DOCUMENTS % _SCORE_STEPS / _SCORE_STEPS
    return {"id": f"{shard_set}/{version}/{shard}/{n}.{document}", "score": score}
