"""Settings of one node."""

from dataclasses import dataclass, replace

from heatherpick._ini.findings import Findings
from heatherpick._ini.objects import build_object
from heatherpick._ini.reader import read_sections, read_text
from heatherpick._ini.values import (
    AddressValue,
    IntegerValue,
    NameValue,
    PeersValue,
    TextValue,
)
from heatherpick.errors import SettingsError

__all__ = ["NODE_VALUES", "NodeSettings"]

NODE_SECTION = "node"

#: Heartbeats that may get lost before two nodes stop agreeing.
N_HEARTBEATS_TO_AGREE = 2

#: Least distance between suspicion and the end of agreement: what two clocks may
#: disagree by, and a call to an upstream of useful length.
LEAST_DISTANCE_MS = 450

NODE_VALUES = {
    "name": NameValue(),
    "data_centre": NameValue(),
    "caller_address": AddressValue(is_listening=True),
    "peer_address": AddressValue(),
    "peer_listen_address": AddressValue(is_listening=True),
    "platform_address": AddressValue(),
    "seed_peers": PeersValue(),
    "heartbeat_ms": IntegerValue(10, 10_000),
    "suspect_after_ms": IntegerValue(50, 60_000),
    "agree_within_ms": IntegerValue(20, 60_000),
    "log_path": TextValue(),
    "trace_path": TextValue(is_optional=True),
    "max_body_bytes": IntegerValue(1_024, 1_000_000),
    "key_retention_hours": IntegerValue(1, 720),
}


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What one node must know before it starts.

    Parameters
    ----------
    name : str
        Name of the node, unique in the fleet.
    data_centre : str
        Name of the data centre that the node stands in.
    caller_address : str
        ``ip:port`` at which the node serves callers and operators by HTTP.
    peer_address : str
        ``ip:port`` at which the node takes connections of its peers, and which
        it tells them.
    peer_listen_address : str
        ``ip:port`` to listen on in place of ``peer_address``, where something in
        between forwards the one to the other; empty if nothing does.
    platform_address : str
        ``ip:port`` of the platform's object service.
    seed_peers : tuple of (str, str)
        Names and addresses of peers to ask for documents before the platform
        has answered. The node itself is left out.
    heartbeat_ms : int
        Time between two heartbeats to one peer.
    suspect_after_ms : int
        Time without a heartbeat after which a peer is suspected.
    agree_within_ms : int
        Time within which a peer must have echoed a heartbeat to be in agreement.
    log_path : str
        File that takes log lines, or ``-`` for standard output.
    trace_path : str
        File that takes spans as JSON lines, or empty to record none.
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
        """Return the settings that stand in an INI file.

        Parameters
        ----------
        path : str or path-like
            File with one section, ``[node]``.

        Raises
        ------
        SettingsError
            If anything is wrong with the file; it carries every finding.
        """
        path = str(path)
        findings = Findings()
        text = read_text(path, findings)
        findings.raise_any(SettingsError)
        return cls.from_text(path, text)

    @classmethod
    def from_text(cls, path, text):
        """Return the settings that stand in ``text``; ``path`` is for findings."""
        findings = Findings()
        sections = read_sections(path, text, findings)
        section = _find_node_section(path, sections, findings)
        settings = None
        if section is not None:
            settings = build_object(section, cls, NODE_VALUES, findings)
        if settings is not None:
            _check_addresses(settings, section, findings)
            _check_times(settings, section, findings)
        findings.raise_any(SettingsError)
        others = tuple(peer for peer in settings.seed_peers if peer[0] != settings.name)
        return replace(settings, seed_peers=others)


def _find_node_section(path, sections, findings):
    node = None
    for section in sections:
        if section.title == NODE_SECTION:
            node = section
        else:
            findings.add(
                section.place,
                f"[{section.title}]",
                f"is an unknown section; settings have only [{NODE_SECTION}]",
            )
    if node is None:
        findings.add((path, 0), f"[{NODE_SECTION}]", "is missing; add the section")
    return node


def _check_addresses(settings, section, findings):
    taken = {}
    for key in ("caller_address", "peer_address", "platform_address"):
        address = getattr(settings, key)
        if address in taken:
            findings.add(
                section.find_place(key),
                f"[{NODE_SECTION}] {key}",
                f"{address} is {taken[address]} already; give another port",
            )
        taken[address] = key


def _check_times(settings, section, findings):
    if settings.agree_within_ms < N_HEARTBEATS_TO_AGREE * settings.heartbeat_ms:
        findings.add(
            section.find_place("agree_within_ms"),
            f"[{NODE_SECTION}] agree_within_ms",
            f"{settings.agree_within_ms} is less than {N_HEARTBEATS_TO_AGREE} times "
            f"heartbeat_ms {settings.heartbeat_ms}; raise it",
        )
    least_ms = settings.agree_within_ms + LEAST_DISTANCE_MS
    if settings.suspect_after_ms < least_ms:
        findings.add(
            section.find_place("suspect_after_ms"),
            f"[{NODE_SECTION}] suspect_after_ms",
            f"{settings.suspect_after_ms} is less than agree_within_ms "
            f"{settings.agree_within_ms} and {LEAST_DISTANCE_MS} for the last call; "
            f"set it to {least_ms} or more",
        )
