"""Configuration of the fleet in fault tests: declarations, settings, upstreams."""

import json

from demo.processes import allocate_port

__all__ = ["HOST", "DATA_CENTRES", "SERVICES", "UPSTREAMS", "FleetConfig"]

HOST = "127.0.0.1"
DATA_CENTRES = ("north", "south")
N_NODES = 3
N_SHARDS = 6
SERVICES = {"lookup": "findings", "stock": "parts"}

#: Intervals of the membership protocol, short so that tests do not wait long.
MEMBERSHIP_TIMINGS = (
    "heartbeat_ms = 200\nagree_within_ms = 600\nsuspect_after_ms = 1500\n"
)

COMMON_DECLARATIONS = """\
[region r]
between_data_centres_ms = 1.5
to_callers_ms = 3
[deadline search]
total_ms = 3000
margin_ms = 50
[deadline order]
total_ms = 4000
margin_ms = 50
[limit frail]
n_slots = 2
n_cold_slots = 2
n_connections = 60
connect_ms = 1
n_batch = 16
[limit ramped]
n_slots = 4
n_cold_slots = 1
n_connections = 60
connect_ms = 1
n_batch = 16
[shard-set entries]
index_version = 1
n_shards = 1
n_group = 1
[service lookup]
shard_set = findings
deadline = search
weigh = coverage
[service stock]
shard_set = parts
deadline = search
weigh = coverage
[service entry]
shard_set = entries
deadline = order
repeatable = no
"""

#: Shard set, limit, shards and stand-in of each upstream of a data centre. A frail one
#: stays cold and fails at a third concurrent call, so that any time with two owners
#: shows; a ramped one warms up.
FRAIL = {"n_slots": 2, "n_cold_slots": 2, "n_warm_up": 10**6, "service_ms": 90.0}
RAMPED = {"n_slots": 4, "n_cold_slots": 1, "n_warm_up": 4, "service_ms": 25.0}
UPSTREAMS = {
    "findings-0": ("findings", "frail", (0, 1, 2), FRAIL),
    "findings-1": ("findings", "frail", (3, 4, 5), FRAIL),
    "parts-0": ("parts", "ramped", (0, 1, 2, 3, 4, 5), RAMPED),
    "entries-0": ("entries", "ramped", (0,), RAMPED),
}


class FleetConfig:
    """Names, ports and configuration files of one fleet.

    Attributes
    ----------
    nodes : dict of str to str
        Data centre of each node.
    caller_addresses : dict of str to str
        Address at which each node accepts callers.
    """

    def __init__(self):
        self.nodes = {
            f"{data_centre}-{number}": data_centre
            for number in range(1, N_NODES + 1)
            for data_centre in DATA_CENTRES
        }
        self.caller_addresses = {
            node: f"{HOST}:{allocate_port()}" for node in self.nodes
        }
        self._peer_ports = {node: allocate_port() for node in self.nodes}
        self._listen_ports = {node: allocate_port() for node in self.nodes}
        self._platform_ports = {
            data_centre: allocate_port() for data_centre in DATA_CENTRES
        }
        self._upstream_ports = {
            f"{data_centre}-{name}": allocate_port()
            for data_centre in DATA_CENTRES
            for name in UPSTREAMS
        }

    def format_declarations(self, index_version=1):
        """Return the declarations; ``index_version`` is that of the searches."""
        sections = [COMMON_DECLARATIONS]
        for name in SERVICES.values():
            sections.append(
                f"[shard-set {name}]\nindex_version = {index_version}\n"
                f"n_shards = {N_SHARDS}\nn_group = 1\n"
            )
        for data_centre in DATA_CENTRES:
            sections.append(f"[data-centre {data_centre}]\nregion = r\n")
            for name, (shard_set, limit, shards, _) in UPSTREAMS.items():
                sections.append(
                    f"[upstream {data_centre}-{name}]\ndata_centre = {data_centre}\n"
                    f"address = {HOST}:"
                    f"{self._upstream_ports[f'{data_centre}-{name}']}\n"
                    f"limit = {limit}\nshard_set = {shard_set}\n"
                    f"shards = {' '.join(map(str, shards))}\n"
                )
        return "".join(sections)

    def format_upstreams(self, data_centre, seed):
        """Return the configuration of the stand-ins of a data centre's upstreams."""
        upstreams = [
            {
                "name": f"{data_centre}-{name}",
                "shard_set": shard_set,
                "served": {"1": shards},
                "port": self._upstream_ports[f"{data_centre}-{name}"],
                "connect_ms": 1.0,
                "cold": True,
                "restart_ms": 300.0,
                "keeps_queries": True,
            }
            | behaviour
            for name, (shard_set, _, shards, behaviour) in UPSTREAMS.items()
        ]
        return json.dumps({"seed": seed, "upstreams": upstreams})

    def format_settings(self, node, directory):
        """Return the settings file of a node."""
        data_centre = self.nodes[node]
        seeds = " ".join(
            f"{each}@{HOST}:{port}" for each, port in self._peer_ports.items()
        )
        return (
            f"[node]\nname = {node}\ndata_centre = {data_centre}\n"
            f"caller_address = {self.caller_addresses[node]}\n"
            f"peer_address = {HOST}:{self._peer_ports[node]}\n"
            f"peer_listen_address = {HOST}:{self._listen_ports[node]}\n"
            f"platform_address = {HOST}:{self._platform_ports[data_centre]}\n"
            f"seed_peers = {seeds}\nlog_path = {directory}/{node}.log\n"
            f"{MEMBERSHIP_TIMINGS}"
        )

    def format_routes(self, platform):
        """Return the relay's configuration: all peers, and the platform's address."""
        routes = [
            {
                "port": self._peer_ports[node],
                "target": f"{HOST}:{self._listen_ports[node]}",
                "place": data_centre,
            }
            for node, data_centre in self.nodes.items()
        ]
        routes += [
            {
                "port": port,
                "target": platform,
                "place": "platform",
                "source": data_centre,
            }
            for data_centre, port in self._platform_ports.items()
        ]
        return json.dumps({"routes": routes})
