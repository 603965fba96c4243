"""Six nodes in two data centres, with all their upstreams and peers, as processes."""

import json
import signal
import subprocess
import sys
import threading
import time
from contextlib import contextmanager

from demo.processes import Processes, fetch_json, wait_until
from heatherpick.declarations import (
    DECLARATIONS_OBJECT,
    DRAINS_OBJECT,
    Drains,
    decode_declarations,
    decode_drains,
    encode_drains,
)
from standins.arrivals import Load, plan_requests
from standins.records import Record
from tests.process.fleet_config import (
    DATA_CENTRES,
    HOST,
    SERVICES,
    UPSTREAMS,
    FleetConfig,
)
from tests.process.history import History, VersionSample

__all__ = ["Fleet", "LoadRun"]

SEED = 1
RATE_PER_S = 16.0
N_QUERIES = 10**9
TIMEOUT_MS = 15_000
LOAD_TIMEOUT_S = 60.0
COMMAND_TIMEOUT_S = 60.0
SAMPLE_INTERVAL_S = 0.4


class LoadRun:
    """A running load; `history` is set when it has ended.

    ``killed_addresses`` holds the caller addresses of nodes killed during the run.
    """

    def __init__(self, name, load, started_at):
        self.name = name
        self.load = load
        self.started_at = started_at
        self.killed_addresses = set()
        self.version_samples = []
        self.history = None
        #: Change of each counter of each upstream during the run.
        self.counter_changes = {}

    def wait_until(self, seconds):
        """Wait until ``seconds`` after the start of the load."""
        time.sleep(max(0.0, self.started_at + seconds - time.monotonic()))


class Fleet:
    """The processes used by the fault tests; use it as a context manager."""

    def __init__(self, directory):
        self.directory = directory
        self.config = FleetConfig()
        self._processes = Processes(directory)
        self._incarnations = {}
        self._n_started = 0

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self._processes.__exit__()
            raise
        return self

    def __exit__(self, *exception):
        for node in self._incarnations:
            self.resume_node(node)
        self._processes.__exit__(*exception)

    @property
    def nodes(self):
        """Names of the nodes that run."""
        return list(self._incarnations)

    def _start_all(self):
        self.platform = self._start_standin("platform", "--seed", SEED)["port"]
        self.platform = f"{HOST}:{self.platform}"
        routes = self._write("relay.json", self.config.format_routes(self.platform))
        self.relay = self._start_standin("relay", "--config", routes)["control_port"]
        self.relay = f"{HOST}:{self.relay}"
        self.upstream_controls = {}
        for data_centre in DATA_CENTRES:
            text = self.config.format_upstreams(data_centre, SEED)
            config = self._write(f"upstreams-{data_centre}.json", text)
            port = self._start_standin(
                "upstream", "--config", config, name=f"up-{data_centre}"
            )
            self.upstream_controls[data_centre] = f"{HOST}:{port['control_port']}"
        for node in self.config.nodes:
            self.start_node(node)
        code, output = self.publish(1)
        assert code == 0, output
        self.wait_settled()

    def _start_standin(self, standin, *arguments, name=None):
        module = f"standins.{standin}"
        return self._processes.start_and_wait(name or standin, module, *arguments)

    def _write(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return path

    # Nodes.

    def start_node(self, node):
        """Start a node's process."""
        text = self.config.format_settings(node, self.directory)
        settings = self._write(f"{node}.ini", text)
        self._processes.start(node, "heatherpick", "node", "--settings", settings)
        self._n_started += 1
        self._incarnations[node] = f"{node}.{self._n_started}"

    def kill_node(self, node, run=None):
        """Kill a node by SIGKILL; ``run`` notes it, as its responses may be lost."""
        if run is not None:
            run.killed_addresses.add(self.config.caller_addresses[node])
        del self._incarnations[node]
        self._processes.kill(node)

    def stop_nodes(self, nodes):
        """Stop nodes by SIGTERM, wait until they exit, and return their exit codes."""
        for node in nodes:
            del self._incarnations[node]
        return self._processes.stop(nodes)

    def pause_node(self, node):
        """Pause a node's process by SIGSTOP."""
        self._processes.send_signal(node, signal.SIGSTOP)

    def resume_node(self, node):
        """Resume a paused process by SIGCONT."""
        self._processes.send_signal(node, signal.SIGCONT)

    def list_nodes(self, data_centre):
        """Return the names of the nodes of a data centre."""
        return [
            node
            for node, located_in in self.config.nodes.items()
            if located_in == data_centre
        ]

    def get_data_centre_of(self, address):
        """Return the data centre of the node with this caller address, or None."""
        nodes = {caller: node for node, caller in self.config.caller_addresses.items()}
        return self.config.nodes.get(nodes.get(address))

    def wait_answered(self, node, service, outcomes=("answered",)):
        """Wait until a node answers a search with one of ``outcomes``."""
        path = f"/v1/services/{service}"

        def is_answered():
            query = {"query": f"probe {time.monotonic()}"}
            response = fetch_json(self.config.caller_addresses[node], path, query)
            return response and response["outcome"] in outcomes

        wait_until(is_answered, f"answer of {node}")

    def wait_documents(self, node, versions):
        """Wait until a node holds the documents in ``versions``, or newer versions."""

        def has_documents():
            status = self.read_status(node)
            held_versions = status["documents"] if status else {}
            return all(
                held_versions.get(name, 0) >= each for name, each in versions.items()
            )

        wait_until(has_documents, f"documents of {node}")

    def restore(self):
        """End all faults and drains, and start nodes that are down."""
        self.partition_network()
        self.set_platform_faults()
        for node in self.config.nodes:
            if node in self._incarnations:
                self.resume_node(node)
            else:
                self.start_node(node)
        for data_centre in DATA_CENTRES:
            self.control_upstreams(data_centre, "undrain")
        if self.read_drains() != Drains():
            self.write_drains(Drains())
        self.wait_settled()

    def read_status(self, node, seconds=2.0):
        """Return a node's status, None if it does not respond in time."""
        return fetch_json(
            self.config.caller_addresses[node], "/-/status", timeout_s=seconds
        )

    def wait_ready(self, node):
        """Wait until a node is ready for callers."""
        address = self.config.caller_addresses[node]
        wait_until(lambda: fetch_json(address, "/-/ready"), f"readiness of {node}")

    def wait_settled(self):
        """Wait until all nodes are ready members and hold the same documents."""
        for node in self.nodes:
            self.wait_ready(node)
        wait_until(self._is_settled, "agreement of all nodes")

    def _is_settled(self):
        statuses = {node: self.read_status(node) for node in self.nodes}
        if not all(statuses.values()):
            return False
        documents = [status["documents"] for status in statuses.values()]
        return all(each == documents[0] for each in documents) and all(
            self._is_member_of_all(node, status["members"])
            for node, status in statuses.items()
        )

    def _is_member_of_all(self, node, members):
        data_centre = self.config.nodes[node]
        expected = [
            each for each in self.nodes if self.config.nodes[each] == data_centre
        ]
        is_complete = sorted(members["members"]) == sorted(expected)
        return is_complete and members["is_settled"] and not members["suspected"]

    # Operators, platform, upstreams and network.

    def start_command(self, *arguments):
        """Start a command of heatherpick against the platform."""
        command = [sys.executable, "-m", "heatherpick", *arguments]
        command += ["--platform", self.platform]
        return subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
        )

    def run_command(self, *arguments):
        """Run a command of heatherpick; return its exit code and output."""
        process = self.start_command(*arguments)
        output, _ = process.communicate(timeout=COMMAND_TIMEOUT_S)
        return process.returncode, output

    def write_declarations(self, index_version):
        """Return the path of the declarations with that index version."""
        text = self.config.format_declarations(index_version)
        return str(self._write(f"version-{index_version}.ini", text))

    def publish(self, index_version):
        """Publish the declarations; return exit code and output."""
        return self.run_command("publish", self.write_declarations(index_version))

    def read_object(self, name):
        """Return an object of the platform, an empty one if there is none."""
        found = fetch_json(self.platform, f"/v1/objects/{name}")
        return found or {"version": 0, "body": ""}

    def read_drains(self):
        """Return what the platform records as drained."""
        body = self.read_object(DRAINS_OBJECT)["body"]
        return decode_drains(body) if body else Drains()

    def write_drains(self, drains):
        """Write what is drained, without the delay of starting a command."""
        version = self.read_object(DRAINS_OBJECT)["version"]
        written = fetch_json(
            self.platform,
            f"/v1/objects/{DRAINS_OBJECT}",
            {"body": encode_drains(drains)},
            method="PUT",
            headers={"If-Match": str(version)},
        )
        assert written is not None

    @property
    def index_version(self):
        """Index version of the searches, as last published."""
        body = self.read_object(DECLARATIONS_OBJECT)["body"]
        return decode_declarations(body).shard_sets["findings"].index_version

    def set_served_versions(self, *versions):
        """Make the upstreams of the searches serve these index versions."""
        for data_centre in DATA_CENTRES:
            for name, (shard_set, _, shards, _) in UPSTREAMS.items():
                if shard_set in SERVICES.values():
                    served = {str(version): shards for version in versions}
                    upstreams = [f"{data_centre}-{name}"]
                    self.control_upstreams(
                        data_centre, "serve", served=served, upstreams=upstreams
                    )

    def control_upstreams(self, data_centre, action, **content):
        """Send a control action to the stand-ins of a data centre's upstreams."""
        response = fetch_json(
            self.upstream_controls[data_centre], f"/_control/{action}", content
        )
        assert response is not None, (data_centre, action, content)

    def set_platform_faults(self, *faults):
        """Replace the platform's active faults."""
        path = "/_control/faults"
        assert fetch_json(self.platform, path, method="DELETE") is not None
        content = {"faults": list(faults)}
        assert fetch_json(self.platform, path, content) is not None

    def partition_network(self, *pairs):
        """Cut the network between these pairs of locations and heal all others.

        A location is a data centre or "platform".
        """
        assert fetch_json(self.relay, "/_control/cut", {"pairs": pairs}) is not None

    def read_upstreams(self):
        """Return the state of every upstream by name."""
        state = {}
        for control in self.upstream_controls.values():
            state |= fetch_json(control, "/_control/state")
        return state

    # Load.

    @contextmanager
    def run_load(self, seed, seconds, order_share=0.3, n_repeats=1, nodes=None):
        """Load the fleet while the body runs, and then set the run's history.

        Parameters
        ----------
        seed : int
            Seed of the load, different for each run, since keys are derived from it.
        seconds : float
            Time for which requests arrive.
        order_share : float
            Share of orders.
        n_repeats : int
            Number of times that each order is sent again through the next node.
        nodes : list of str, optional
            Nodes to which callers send; all by default.
        """
        load = Load(
            rate=RATE_PER_S,
            seconds=seconds,
            searches=tuple(SERVICES.items()),
            orders=("entry",),
            order_share=order_share,
            n_repeats=n_repeats,
            repeat_after_ms=250.0,
            n_queries=N_QUERIES,
            seed=seed,
        )
        print(f"seed of the load: {seed}")
        run = LoadRun(f"load-{seed}", load, time.monotonic())
        before = self.read_upstreams()
        self._start_load(run, nodes or list(self.config.nodes))
        ended = threading.Event()
        sampler = threading.Thread(target=self._sample_versions, args=(run, ended))
        sampler.start()
        try:
            yield run
            print(self._processes.wait_for_exit(run.name, timeout_s=LOAD_TIMEOUT_S))
        finally:
            ended.set()
            sampler.join()
        run.history = self._collect(run)
        run.counter_changes = _compute_changes(self.read_upstreams(), before)

    def _start_load(self, run, nodes):
        load = run.load
        arguments = [f"--node={self.config.caller_addresses[node]}" for node in nodes]
        arguments += [
            f"--search={name}={shard_set}" for name, shard_set in load.searches
        ]
        arguments += [f"--order={name}" for name in load.orders]
        for name in "rate seconds order_share n_repeats repeat_after_ms".split():
            arguments.append(f"--{name.replace('_', '-')}={getattr(load, name)}")
        arguments += [f"--n-queries={load.n_queries}", f"--seed={load.seed}"]
        records = self.directory / f"{run.name}.jsonl"
        arguments += [f"--timeout-ms={TIMEOUT_MS}", f"--records={records}"]
        self._processes.start(run.name, "standins.caller", *arguments)

    def _sample_versions(self, run, ended):
        while not ended.wait(SAMPLE_INTERVAL_S):
            for node, incarnation in list(self._incarnations.items()):
                status = self.read_status(node, seconds=0.5)
                # The node may have been replaced while its status was read.
                if status is not None and self._incarnations.get(node) == incarnation:
                    run.version_samples.append(
                        VersionSample(incarnation, status["documents"])
                    )

    def _collect(self, run):
        plan = tuple(plan_requests(run.load))
        lines = (self.directory / f"{run.name}.jsonl").read_text().splitlines()
        keys = {request.key for request in plan if request.is_order}
        return History(
            plan=plan,
            records=tuple(map(_read_record, lines)),
            n_runs_by_key=self._count_order_runs(keys),
            queries_run=self._read_queries(),
            claims=self._read_claims(keys),
            version_samples=tuple(run.version_samples),
            killed_addresses=frozenset(run.killed_addresses),
        )

    def _count_order_runs(self, keys):
        states = self.read_upstreams().values()
        counts = {
            key: sum(each["orders"].get(key, 0) for each in states) for key in keys
        }
        return {key: n_runs for key, n_runs in counts.items() if n_runs}

    def _read_queries(self):
        controls = self.upstream_controls.values()
        responses = [fetch_json(each, "/_control/queries") for each in controls]
        texts = [text for response in responses for text in response["queries"]]
        return frozenset(map(json.loads, texts))

    def _read_claims(self, keys):
        # An injected outage may still be active when the run ends.
        self.set_platform_faults()
        listing = fetch_json(self.platform, "/v1/watch?prefix=claims/&since=0")
        claims = {}
        for claimed in listing["objects"]:
            for key, row in json.loads(claimed["body"])["keys"].items():
                if key in keys:
                    is_recorded = len(row) == 5 and row[4] is not None
                    claims[key] = json.loads(row[4]) if is_recorded else None
        return claims


def _read_record(line):
    fields = json.loads(line)
    del fields["correct"]
    return Record(**fields)


def _compute_changes(after, before):
    return {
        name: {
            counter: value - before[name][counter]
            for counter, value in state.items()
            if type(value) is int
        }
        for name, state in after.items()
    }
