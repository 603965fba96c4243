"""Checks whether the response to a search is correct."""

from standins.hits import compute_hits

__all__ = ["find_response_fault"]


def find_response_fault(shard_set, query, response):
    """Return the fault of a response, "" if it is correct.

    A response is correct if its hits are exactly those of the shards that it states
    as covered, all at the index version that it states.

    Parameters
    ----------
    shard_set : str
        Name of the shard set that the service searches.
    query : object
        The query, as a JSON value or as JSON text.
    response : dict
        Body of the response, with ``outcome``, ``hits``, ``coverage`` and
        ``index_version``.

    Examples
    --------
    >>> from standins.hits import compute_hits
    >>> coverage = {"n_shards": 2, "n_covered": 1, "missing": [1]}
    >>> response = {"outcome": "partial", "coverage": coverage, "index_version": 7}
    >>> response["hits"] = compute_hits("s", 7, 0, "pine")
    >>> find_response_fault("s", "pine", response)
    ''
    >>> find_response_fault("s", "oak", response)
    'hits of shards that are not covered, or of another query or version'
    """
    coverage = response["coverage"]
    missing = set(coverage["missing"])
    n_shards = coverage["n_shards"]
    if not missing <= set(range(n_shards)):
        return "missing names a shard that does not exist"
    if coverage["n_covered"] != n_shards - len(missing):
        return "n_covered and missing do not add up"
    if (response["outcome"] == "answered") != (not missing):
        return "the outcome does not agree with the coverage"
    covered = set(range(n_shards)) - missing
    return _find_hits_fault(shard_set, query, response, covered)


def _find_hits_fault(shard_set, query, response, covered):
    actual = [(hit["id"], hit["score"]) for hit in response["hits"]]
    expected = {
        (hit["id"], hit["score"])
        for shard in covered
        for hit in compute_hits(shard_set, response["index_version"], shard, query)
    }
    if len(actual) != len(set(actual)):
        return "a hit stands twice"
    if set(actual) - expected:
        return "hits of shards that are not covered, or of another query or version"
    if expected - set(actual):
        return "hits of covered shards are missing"
    return ""
