"""The settings file that the platform writes for each process."""

import os
import tomllib
from dataclasses import dataclass

from heatherpick._fleet.addresses import parse_address
from heatherpick.errors import Finding, SettingsError

__all__ = ["PlatformSettings"]

#: Environment variable with the path of the settings file.
PATH_VARIABLE = "HEATHERPICK_SETTINGS"

#: Port of the metrics; ``deploy/system.toml`` must name the same port.
METRICS_PORT = 9190
#: Settings with the deadlines, in milliseconds, for acting on a change in the store.
STORE_CHANGE_DEADLINES = (
    "bounds.config-apply-ms",
    "bounds.drain-ms",
    "bounds.evacuate-ms",
)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Identity, addresses and limits of one node.

    Parameters
    ----------
    node, data_centre : str
        Identity of the node, and the data centre that it runs in.
    callers_address, readiness_address, metrics_address : tuple of (str, int)
        Where the node listens for callers, readiness checks and metrics scrapers.
    store_address, peers_address : tuple of (str, int)
        Address of the store, and where the node listens for polls from its peers.
    search_address : tuple of (str, int)
        Where the node listens for searches that other nodes hand over.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s.
    seeds : tuple of str
        Peer addresses, ``ip:port``, of some other nodes; they may be stale.
    extra_share, extra_slack : float
        Extra legs that the whole fleet may send to a service in one window: a share of
        the service's requests, plus a constant number.
    news_s : float
        Deadline for acting on a change in the store, in seconds: the shortest of those
        for routes, for upstreams that drain and for drained data centres.
    stop_grace_s : float
        Time from SIGTERM until the platform kills the process, in seconds.
    """

    node: str
    data_centre: str
    callers_address: tuple
    readiness_address: tuple
    metrics_address: tuple
    store_address: tuple
    peers_address: tuple
    search_address: tuple
    link_mbps: float
    seeds: tuple
    extra_share: float
    extra_slack: float
    news_s: float
    stop_grace_s: float

    @classmethod
    def from_environment(cls):
        """Read the file that ``HEATHERPICK_SETTINGS`` names.

        Raises
        ------
        SettingsError
            The file cannot be read, or fields are missing or have the wrong type.
        """
        path = os.environ.get(PATH_VARIABLE, "")
        try:
            with open(path, "rb") as file:
                return cls.from_toml(tomllib.load(file), path)
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            message = f"cannot be read: {error}; set {PATH_VARIABLE} to a TOML file"
            raise SettingsError([Finding(path, 0, "file", message)]) from error

    @classmethod
    def from_toml(cls, fields, path):
        """Build the settings from a parsed file.

        Parameters
        ----------
        fields : dict
            The parsed file.
        path : str
            Path of the file, for the findings.

        Raises
        ------
        SettingsError
            Fields are missing or have the wrong type; lists all of them.
        """
        reader = _FieldReader(fields, path)
        settings = cls(
            node=reader.read_field("node-name", str),
            data_centre=reader.read_field("zone", str),
            callers_address=reader.read_address("listen.front"),
            readiness_address=reader.read_address("listen.ready"),
            metrics_address=(reader.read_field("ip", str), METRICS_PORT),
            store_address=reader.read_address("platform.address"),
            peers_address=reader.read_address("listen.control"),
            search_address=reader.read_first_port("internal-ports"),
            link_mbps=float(reader.read_field("limits.link-mbps", (int, float))),
            seeds=tuple(
                seed
                for seed in reader.read_field("seeds", list) or ()
                if parse_address(seed) is not None
            ),
            extra_share=float(
                reader.read_field("bounds.retry-budget-ratio", (int, float))
            ),
            extra_slack=float(reader.read_field("bounds.retry-slack", (int, float))),
            news_s=min(
                float(reader.read_field(name, (int, float)))
                for name in STORE_CHANGE_DEADLINES
            )
            / 1000.0,
            stop_grace_s=float(reader.read_field("bounds.grace-s", (int, float))),
        )
        if reader.findings:
            raise SettingsError(reader.findings)
        return settings


class _FieldReader:
    """Reads fields by their dotted names and collects findings on invalid ones."""

    def __init__(self, fields, path):
        self._fields = fields
        self._path = path
        self.findings = []

    def read_field(self, name, types):
        value = self._fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if isinstance(value, types) and not isinstance(value, bool):
            return value
        self._add_finding(name, f"is {value!r}, which has the wrong type")
        return 0

    def read_address(self, name):
        text = self.read_field(name, str)
        host, colon, port = str(text).rpartition(":")
        if colon and host and port.isdigit():
            return host, int(port)
        self._add_finding(name, f"is {text!r}; expected ip:port")
        return "", 0

    def read_first_port(self, name):
        ports = self.read_field(name, list)
        if ports and isinstance(ports[0], int):
            return str(self._fields.get("ip")), ports[0]
        # A field of another type is already among the findings.
        if isinstance(ports, list):
            self._add_finding(
                name, f"is {ports!r}; expected the first and the last free port"
            )
        return "", 0

    def _add_finding(self, name, message):
        self.findings.append(Finding(self._path, 0, name, message))
