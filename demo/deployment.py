"""Configuration of nodes and upstreams, derived from the declarations."""

import json
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["NodeSettings", "build_node_settings", "build_upstream_configs"]

_HOST = "127.0.0.1"
_SEED = 1
#: Median service time of an upstream for one call, and for each leg.
_SERVICE_MS = 8.0
_LEG_MS = 0.5
#: Successful calls after which a cold upstream is warm.
_N_WARM_UP = 10


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node.

    Parameters
    ----------
    name : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    caller_address, peer_address, platform_address : str
        ``ip:port`` of the two ports that it listens on and of the platform.
    log_path : str
        File for its log.
    trace_path : str
        File for its spans.
    """

    name: str
    data_centre: str
    caller_address: str
    peer_address: str
    platform_address: str
    log_path: str
    trace_path: str

    def format_ini(self, nodes):
        """Return the text of the node's settings file.

        Parameters
        ----------
        nodes : list of NodeSettings
            All nodes, whose peer addresses become the seed peers.
        """
        seeds = " ".join(f"{each.name}@{each.peer_address}" for each in nodes)
        return (
            "[node]\n"
            f"name = {self.name}\n"
            f"data_centre = {self.data_centre}\n"
            f"caller_address = {self.caller_address}\n"
            f"peer_address = {self.peer_address}\n"
            f"platform_address = {self.platform_address}\n"
            f"seed_peers = {seeds}\n"
            f"log_path = {self.log_path}\n"
            f"trace_path = {self.trace_path}\n"
        )


def build_node_settings(
    declarations, n_per_data_centre, platform_address, directory, allocate_port
):
    """Return the `NodeSettings` of the same number of nodes in each data centre.

    Parameters
    ----------
    declarations : heatherpick.declarations.DeclarationSet
        The declared data centres.
    n_per_data_centre : int
        Number of nodes in each.
    platform_address : str
        ``ip:port`` of the platform.
    directory : pathlib.Path
        Directory for logs and spans.
    allocate_port : callable
        Returns a free port at each call.
    """
    return [
        NodeSettings(
            name=f"{data_centre}-node-{number}",
            data_centre=data_centre,
            caller_address=f"{_HOST}:{allocate_port()}",
            peer_address=f"{_HOST}:{allocate_port()}",
            platform_address=platform_address,
            log_path=str(directory / f"{data_centre}-node-{number}.log"),
            trace_path=str(directory / f"{data_centre}-node-{number}.trace"),
        )
        for data_centre in declarations.data_centres
        for number in range(1, n_per_data_centre + 1)
    ]


def build_upstream_configs(declarations):
    """Return the stand-ins' configuration for every data centre, as JSON text.

    Every upstream starts cold, has the capacity of its declared limit and serves the
    declared index version.

    Parameters
    ----------
    declarations : heatherpick.declarations.DeclarationSet
        The declared upstreams and limits.

    Returns
    -------
    dict of str to str
        Text of the configuration file by data centre.
    """
    by_data_centre = defaultdict(list)
    for upstream in declarations.upstreams.values():
        config = _build_upstream_config(declarations, upstream)
        by_data_centre[upstream.data_centre].append(config)
    return {
        data_centre: json.dumps({"seed": _SEED, "upstreams": configs}, indent=1)
        for data_centre, configs in by_data_centre.items()
    }


def _build_upstream_config(declarations, upstream):
    limit = declarations.limits[upstream.limit]
    shard_set = declarations.shard_sets[upstream.shard_set]
    return {
        "name": upstream.name,
        "shard_set": upstream.shard_set,
        "served": {str(shard_set.index_version): list(upstream.shards)},
        "port": int(upstream.address.rpartition(":")[2]),
        "n_slots": limit.n_slots,
        "n_cold_slots": limit.n_cold_slots,
        "n_connections": limit.n_connections,
        "connect_ms": limit.connect_ms,
        "service_ms": _SERVICE_MS,
        "leg_ms": _LEG_MS,
        "cold": True,
        "n_warm_up": _N_WARM_UP,
    }
