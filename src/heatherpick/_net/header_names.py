"""HTTP header names, which differ between the systems that a node serves."""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names as bytes.

    Names that are compared with received headers must be in lower case.

    Parameters
    ----------
    request_id : bytes
        Id of a caller's attempt; upstreams repeat it in their responses.
    timeout : bytes
        Time that the sender will wait for the response, in milliseconds.
    target : bytes
        Id of the only upstream that may run a request.
    signature : bytes
        An upstream's signature of its response.
    unexecuted : bytes
        Present when the upstream did not run the request.
    load : bytes
        An upstream's running requests, waiting requests and slots, separated by commas.
    part_signatures : bytes
        Signatures of the parts in a merged answer.
    n_missing : bytes
        Number of shards whose part is missing from a merged answer.
    """

    request_id: bytes = b"x-request-id"
    timeout: bytes = b"x-patience-ms"
    target: bytes = b"x-target-upstream"
    signature: bytes = b"x-signature"
    unexecuted: bytes = b"x-not-executed"
    load: bytes = b"x-load"
    part_signatures: bytes = b"x-part-signatures"
    n_missing: bytes = b"x-missing-parts"
