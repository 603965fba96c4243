"""Settings of one node."""

from dataclasses import dataclass, replace

from heatherpick._ini.findings import Findings
from heatherpick._ini.objects import build_object
from heatherpick._ini.reader import read_sections, read_text
from heatherpick._ini.value_types import (
    AddressType,
    IntegerType,
    NameType,
    PeerListType,
    TextType,
)
from heatherpick.errors import SettingsError

__all__ = ["NODE_VALUE_TYPES", "NodeSettings"]

NODE_SECTION = "node"

#: Heartbeats that may be lost before two nodes leave agreement; ``agree_within_ms`` is
#: at least this many heartbeat periods.
MAX_LOST_HEARTBEATS = 2

#: Least time by which ``suspect_after_ms`` exceeds ``agree_within_ms``. It covers the
#: difference between two clocks and a call to an upstream of useful length.
MIN_SUSPICION_MARGIN_MS = 450

NODE_VALUE_TYPES = {
    "name": NameType(),
    "data_centre": NameType(),
    "caller_address": AddressType(is_listen_address=True),
    "peer_address": AddressType(),
    "peer_listen_address": AddressType(is_listen_address=True),
    "platform_address": AddressType(),
    "seed_peers": PeerListType(),
    "heartbeat_ms": IntegerType(10, 10_000),
    "suspect_after_ms": IntegerType(50, 60_000),
    "agree_within_ms": IntegerType(20, 60_000),
    "log_path": TextType(),
    "trace_path": TextType(is_optional=True),
    "max_body_bytes": IntegerType(1_024, 1_000_000),
    "key_retention_hours": IntegerType(1, 720),
}


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Configuration of one node, read at start.

    Parameters
    ----------
    name : str
        Name of the node, unique in the fleet.
    data_centre : str
        Name of the node's data centre.
    caller_address : str
        ``ip:port`` at which the node serves callers and operators over HTTP.
    peer_address : str
        ``ip:port`` at which the node accepts connections of its peers, and which
        it advertises to them.
    peer_listen_address : str
        ``ip:port`` to listen on instead of ``peer_address``, where an
        intermediary forwards ``peer_address`` to it; empty if there is none.
    platform_address : str
        ``ip:port`` of the platform's object service.
    seed_peers : tuple of (str, str)
        Names and addresses of peers to ask for documents before the platform
        has answered. The node itself is left out.
    heartbeat_ms : int
        Interval between two heartbeats to one peer.
    suspect_after_ms : int
        Time without a heartbeat after which a peer is suspected.
    agree_within_ms : int
        Time within which a peer must have echoed a heartbeat to count as in
        agreement.
    log_path : str
        File for log lines, or ``-`` for standard output.
    trace_path : str
        File for spans as JSON lines, or empty to record none.
    max_body_bytes : int
        Size of the largest request body of a caller.
    key_retention_hours : int
        Time for which an idempotency key and its outcome are kept.
    """

    name: str
    data_centre: str
    caller_address: str
    peer_address: str
    platform_address: str
    seed_peers: tuple[tuple[str, str], ...] = ()
    heartbeat_ms: int = 500
    suspect_after_ms: int = 2_500
    agree_within_ms: int = 1_500
    peer_listen_address: str = ""
    log_path: str = "-"
    trace_path: str = ""
    max_body_bytes: int = 65_536
    key_retention_hours: int = 24

    @classmethod
    def from_file(cls, path):
        """Return the settings of an INI file.

        Parameters
        ----------
        path : str or path-like
            File with one section, ``[node]``.

        Raises
        ------
        SettingsError
            If the file is invalid; the error carries every finding.
        """
        path = str(path)
        findings = Findings()
        text = read_text(path, findings)
        findings.raise_if_any(SettingsError)
        return cls.from_text(path, text)

    @classmethod
    def from_text(cls, path, text):
        """Return the settings in ``text``; ``path`` is for findings."""
        findings = Findings()
        sections = read_sections(path, text, findings)
        section = _find_node_section(path, sections, findings)
        settings = None
        if section is not None:
            settings = build_object(section, cls, NODE_VALUE_TYPES, findings)
        if settings is not None:
            _check_addresses(settings, section, findings)
            _check_timeouts(settings, section, findings)
        findings.raise_if_any(SettingsError)
        other_peers = tuple(
            peer for peer in settings.seed_peers if peer[0] != settings.name
        )
        return replace(settings, seed_peers=other_peers)


def _find_node_section(path, sections, findings):
    node_section = None
    for section in sections:
        if section.title == NODE_SECTION:
            node_section = section
        else:
            findings.add(
                section.location,
                f"[{section.title}]",
                f"is an unknown section; only [{NODE_SECTION}] is allowed",
            )
    if node_section is None:
        findings.add((path, 0), f"[{NODE_SECTION}]", "is missing; add the section")
    return node_section


def _check_addresses(settings, section, findings):
    key_by_address = {}
    for key in ("caller_address", "peer_address", "platform_address"):
        address = getattr(settings, key)
        if address in key_by_address:
            findings.add(
                section.find_location(key),
                f"[{NODE_SECTION}] {key}",
                f"{address} is already {key_by_address[address]}; give another port",
            )
        key_by_address[address] = key


def _check_timeouts(settings, section, findings):
    if settings.agree_within_ms < MAX_LOST_HEARTBEATS * settings.heartbeat_ms:
        findings.add(
            section.find_location("agree_within_ms"),
            f"[{NODE_SECTION}] agree_within_ms",
            f"{settings.agree_within_ms} is less than {MAX_LOST_HEARTBEATS} "
            f"times heartbeat_ms {settings.heartbeat_ms}; raise it",
        )
    min_ms = settings.agree_within_ms + MIN_SUSPICION_MARGIN_MS
    if settings.suspect_after_ms < min_ms:
        findings.add(
            section.find_location("suspect_after_ms"),
            f"[{NODE_SECTION}] suspect_after_ms",
            f"{settings.suspect_after_ms} is less than agree_within_ms "
            f"{settings.agree_within_ms} plus {MIN_SUSPICION_MARGIN_MS} for the last "
            f"call; set it to {min_ms} or more",
        )
