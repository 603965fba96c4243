"""What the fleet of the fault cases is made of: declarations, settings, upstreams."""

import json

from demo.processes import allocate_port

__all__ = ["HOST", "PLACES", "SERVICES", "UPSTREAMS", "Site"]

HOST = "127.0.0.1"
PLACES = ("north", "south")
N_NODES = 3
N_SHARDS = 6
SERVICES = {"lookup": "findings", "stock": "parts"}

#: Times of the membership, short so that a case does not wait long for them.
TIMINGS = "heartbeat_ms = 200\nagree_within_ms = 600\nsuspect_after_ms = 1500\n"

COMMON = """\
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

#: Limit, shards and stand-in of each upstream of a place. A frail one is cold for
#: ever and falls over under a third call, so no moment of doubled ownership passes
#: unseen; a ramped one warms up.
FRAIL = {"n_slots": 2, "n_cold_slots": 2, "n_warm_up": 10**6, "service_ms": 90.0}
RAMPED = {"n_slots": 4, "n_cold_slots": 1, "n_warm_up": 4, "service_ms": 25.0}
UPSTREAMS = {
    "findings-0": ("findings", "frail", (0, 1, 2), FRAIL),
    "findings-1": ("findings", "frail", (3, 4, 5), FRAIL),
    "parts-0": ("parts", "ramped", (0, 1, 2, 3, 4, 5), RAMPED),
    "entries-0": ("entries", "ramped", (0,), RAMPED),
}


class Site:
    """Names, ports and texts of one fleet.

    Attributes
    ----------
    nodes : dict of str to str
        Data centre of each node.
    callers : dict of str to str
        Address at which each node takes callers.
    """

    def __init__(self):
        self.nodes = {
            f"{place}-{number}": place
            for number in range(1, N_NODES + 1)
            for place in PLACES
        }
        self.callers = {node: f"{HOST}:{allocate_port()}" for node in self.nodes}
        self._peer_ports = {node: allocate_port() for node in self.nodes}
        self._listen_ports = {node: allocate_port() for node in self.nodes}
        self._platform_ports = {place: allocate_port() for place in PLACES}
        self._upstream_ports = {
            f"{place}-{name}": allocate_port() for place in PLACES for name in UPSTREAMS
        }

    def format_declarations(self, index_version=1):
        """Return the declarations; ``index_version`` is that of the searches."""
        sections = [COMMON]
        for name in SERVICES.values():
            sections.append(
                f"[shard-set {name}]\nindex_version = {index_version}\n"
                f"n_shards = {N_SHARDS}\nn_group = 1\n"
            )
        for place in PLACES:
            sections.append(f"[data-centre {place}]\nregion = r\n")
            for name, (shard_set, limit, shards, _) in UPSTREAMS.items():
                sections.append(
                    f"[upstream {place}-{name}]\ndata_centre = {place}\n"
                    f"address = {HOST}:{self._upstream_ports[f'{place}-{name}']}\n"
                    f"limit = {limit}\nshard_set = {shard_set}\n"
                    f"shards = {' '.join(map(str, shards))}\n"
                )
        return "".join(sections)

    def format_upstreams(self, place, seed):
        """Return the configuration of the stand-ins of a data centre's upstreams."""
        upstreams = [
            {
                "name": f"{place}-{name}",
                "shard_set": shard_set,
                "served": {"1": shards},
                "port": self._upstream_ports[f"{place}-{name}"],
                "connect_ms": 1.0,
                "cold": True,
                "restart_ms": 300.0,
                "keeps_queries": True,
            }
            | manner
            for name, (shard_set, _, shards, manner) in UPSTREAMS.items()
        ]
        return json.dumps({"seed": seed, "upstreams": upstreams})

    def format_settings(self, node, directory):
        """Return the settings file of a node."""
        place = self.nodes[node]
        seeds = " ".join(
            f"{each}@{HOST}:{port}" for each, port in self._peer_ports.items()
        )
        return (
            f"[node]\nname = {node}\ndata_centre = {place}\n"
            f"caller_address = {self.callers[node]}\n"
            f"peer_address = {HOST}:{self._peer_ports[node]}\n"
            f"peer_listen_address = {HOST}:{self._listen_ports[node]}\n"
            f"platform_address = {HOST}:{self._platform_ports[place]}\n"
            f"seed_peers = {seeds}\nlog_path = {directory}/{node}.log\n{TIMINGS}"
        )

    def format_routes(self, platform):
        """Return the relay's configuration: all peers, and the platform's address."""
        routes = [
            {
                "port": self._peer_ports[node],
                "target": f"{HOST}:{self._listen_ports[node]}",
                "place": place,
            }
            for node, place in self.nodes.items()
        ]
        routes += [
            {"port": port, "target": platform, "place": "platform", "source": place}
            for place, port in self._platform_ports.items()
        ]
        return json.dumps({"routes": routes})
