"""Six nodes in two data centres and all that surrounds them, as real processes."""

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
from tests.process.history import History, Sighting
from tests.process.sites import HOST, PLACES, SERVICES, UPSTREAMS, Site

__all__ = ["Fleet", "Run"]

SEED = 1
RATE = 16.0
N_QUERIES = 10**9
TIMEOUT_MS = 15_000
LOAD_SECONDS = 60.0
COMMAND_SECONDS = 60.0
SIGHT_SECONDS = 0.4


class Run:
    """A load that goes on; `history` is known when it has ended."""

    def __init__(self, name, load, started):
        self.name = name
        self.load = load
        self.started = started
        self.killed = set()
        self.sightings = []
        self.history = None
        #: Change of each counter of each upstream during the run.
        self.counts = {}

    def wait_until(self, seconds):
        """Wait until ``seconds`` after the start of the load."""
        time.sleep(max(0.0, self.started + seconds - time.monotonic()))


class Fleet:
    """The processes of all fault cases; use it as a context manager."""

    def __init__(self, directory):
        self.directory = directory
        self.site = Site()
        self._processes = Processes(directory)
        self._starts = {}
        self._n_starts = 0

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self._processes.__exit__()
            raise
        return self

    def __exit__(self, *exception):
        for node in self._starts:
            self.thaw(node)
        self._processes.__exit__(*exception)

    @property
    def nodes(self):
        """Names of the nodes that run."""
        return list(self._starts)

    def _start_all(self):
        self.platform = self._announce("platform", "--seed", SEED)["port"]
        self.platform = f"{HOST}:{self.platform}"
        routes = self._write("relay.json", self.site.format_routes(self.platform))
        self.relay = self._announce("relay", "--config", routes)["control_port"]
        self.relay = f"{HOST}:{self.relay}"
        self.upstreams = {}
        for place in PLACES:
            text = self.site.format_upstreams(place, SEED)
            config = self._write(f"upstreams-{place}.json", text)
            port = self._announce("upstream", "--config", config, name=f"up-{place}")
            self.upstreams[place] = f"{HOST}:{port['control_port']}"
        for node in self.site.nodes:
            self.start_node(node)
        code, output = self.publish(1)
        assert code == 0, output
        self.wait_settled()

    def _announce(self, standin, *arguments, name=None):
        module = f"standins.{standin}"
        return self._processes.start_and_wait(name or standin, module, *arguments)

    def _write(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return path

    # Nodes.

    def start_node(self, node):
        """Start a node's process."""
        text = self.site.format_settings(node, self.directory)
        settings = self._write(f"{node}.ini", text)
        self._processes.start(node, "heatherpick", "node", "--settings", settings)
        self._n_starts += 1
        self._starts[node] = f"{node}.{self._n_starts}"

    def kill_node(self, node, run=None):
        """End a node by SIGKILL; ``run`` is told, for its answers may be lost."""
        if run is not None:
            run.killed.add(self.site.callers[node])
        del self._starts[node]
        self._processes.kill(node)

    def stop_nodes(self, nodes):
        """End nodes by SIGTERM, wait for their ends, and return their exit codes."""
        for node in nodes:
            del self._starts[node]
        return self._processes.stop(nodes)

    def freeze(self, node):
        """Stop a node's process by SIGSTOP."""
        self._processes.send_signal(node, signal.SIGSTOP)

    def thaw(self, node):
        """Let a stopped process go on."""
        self._processes.send_signal(node, signal.SIGCONT)

    def list_nodes(self, place):
        """Return the names of the nodes of a data centre."""
        return [node for node, stands in self.site.nodes.items() if stands == place]

    def place_of(self, address):
        """Return the data centre of the node that takes callers at ``address``."""
        nodes = {caller: node for node, caller in self.site.callers.items()}
        return self.site.nodes.get(nodes.get(address))

    def wait_answered(self, node, service, outcomes=("answered",)):
        """Wait until a node answers a search with one of ``outcomes``."""
        path = f"/v1/services/{service}"

        def answers():
            query = {"query": f"probe {time.monotonic()}"}
            answer = fetch_json(self.site.callers[node], path, query)
            return answer and answer["outcome"] in outcomes

        wait_until(answers, f"answer of {node}")

    def wait_documents(self, node, versions):
        """Wait until a node knows documents of these versions or newer ones."""

        def knows():
            status = self.read_status(node)
            held = status["documents"] if status else {}
            return all(held.get(name, 0) >= each for name, each in versions.items())

        wait_until(knows, f"documents of {node}")

    def restore(self):
        """Undo whatever a case did to the nodes and around them."""
        self.cut()
        self.harm_platform()
        for node in self.site.nodes:
            if node in self._starts:
                self.thaw(node)
            else:
                self.start_node(node)
        for place in PLACES:
            self.control(place, "undrain")
        if self.read_drains() != Drains():
            self.write_drains(Drains())
        self.wait_settled()

    def read_status(self, node, seconds=2.0):
        """Return a node's status, None if it gives none in time."""
        return fetch_json(self.site.callers[node], "/-/status", timeout_s=seconds)

    def wait_ready(self, node):
        """Wait until a node is ready for callers."""
        address = self.site.callers[node]
        wait_until(lambda: fetch_json(address, "/-/ready"), f"readiness of {node}")

    def wait_settled(self):
        """Wait until all nodes are ready members and know the same documents."""
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
        place = self.site.nodes[node]
        expected = [each for each in self.nodes if self.site.nodes[each] == place]
        is_whole = sorted(members["members"]) == sorted(expected)
        return is_whole and members["is_settled"] and not members["suspected"]

    # Operators and surroundings.

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
        output, _ = process.communicate(timeout=COMMAND_SECONDS)
        return process.returncode, output

    def write_declarations(self, index_version):
        """Return the path of the declarations with that index version."""
        text = self.site.format_declarations(index_version)
        return str(self._write(f"version-{index_version}.ini", text))

    def publish(self, index_version):
        """Publish the declarations; return exit code and output."""
        return self.run_command("publish", self.write_declarations(index_version))

    def read_object(self, name):
        """Return an object of the platform, an empty one if there is none."""
        found = fetch_json(self.platform, f"/v1/objects/{name}")
        return found or {"version": 0, "body": ""}

    def read_drains(self):
        """Return what the platform holds as drained."""
        body = self.read_object(DRAINS_OBJECT)["body"]
        return decode_drains(body) if body else Drains()

    def write_drains(self, drains):
        """Write what is drained, without the time that a command takes to start."""
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

    def serve(self, *versions):
        """Have the upstreams of the searches hold these index versions."""
        for place in PLACES:
            for name, (shard_set, _, shards, _) in UPSTREAMS.items():
                if shard_set in SERVICES.values():
                    served = {str(version): shards for version in versions}
                    upstreams = [f"{place}-{name}"]
                    self.control(place, "serve", served=served, upstreams=upstreams)

    def control(self, place, action, **content):
        """Have the stand-ins of a data centre's upstreams do something."""
        done = fetch_json(self.upstreams[place], f"/_control/{action}", content)
        assert done is not None, (place, action, content)

    def harm_platform(self, *faults):
        """Replace the platform's faults."""
        path = "/_control/faults"
        assert fetch_json(self.platform, path, method="DELETE") is not None
        harm = {"faults": list(faults)}
        assert fetch_json(self.platform, path, harm) is not None

    def cut(self, *pairs):
        """Cut the network between pairs of places and heal all else."""
        assert fetch_json(self.relay, "/_control/cut", {"pairs": pairs}) is not None

    def read_upstreams(self):
        """Return the state of every upstream by name."""
        state = {}
        for control in self.upstreams.values():
            state |= fetch_json(control, "/_control/state")
        return state

    # Load.

    @contextmanager
    def run_load(self, seed, seconds, order_share=0.3, n_repeats=1, nodes=None):
        """Load the fleet while the body goes on, and complete the run's history.

        Parameters
        ----------
        seed : int
            Seed of the load, another for each run: keys are made from it.
        seconds : float
            Time for which requests arrive.
        order_share : float
            Share of orders.
        n_repeats : int
            Times that each order is sent again through the next node.
        nodes : list of str, optional
            Nodes that take callers; all by default.
        """
        load = Load(
            rate=RATE,
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
        run = Run(f"load-{seed}", load, time.monotonic())
        before = self.read_upstreams()
        self._start_load(run, nodes or list(self.site.nodes))
        ended = threading.Event()
        watcher = threading.Thread(target=self._watch, args=(run, ended))
        watcher.start()
        try:
            yield run
            print(self._processes.wait_for_exit(run.name, timeout_s=LOAD_SECONDS))
        finally:
            ended.set()
            watcher.join()
        run.history = self._collect(run)
        run.counts = _subtract(self.read_upstreams(), before)

    def _start_load(self, run, nodes):
        load = run.load
        arguments = [f"--node={self.site.callers[node]}" for node in nodes]
        arguments += [f"--search={name}={of}" for name, of in load.searches]
        arguments += [f"--order={name}" for name in load.orders]
        for name in "rate seconds order_share n_repeats repeat_after_ms".split():
            arguments.append(f"--{name.replace('_', '-')}={getattr(load, name)}")
        arguments += [f"--n-queries={load.n_queries}", f"--seed={load.seed}"]
        records = self.directory / f"{run.name}.jsonl"
        arguments += [f"--timeout-ms={TIMEOUT_MS}", f"--records={records}"]
        self._processes.start(run.name, "standins.caller", *arguments)

    def _watch(self, run, ended):
        while not ended.wait(SIGHT_SECONDS):
            for node, start in list(self._starts.items()):
                status = self.read_status(node, seconds=0.5)
                # The node may have been replaced while it was asked.
                if status is not None and self._starts.get(node) == start:
                    run.sightings.append(Sighting(start, status["documents"]))

    def _collect(self, run):
        plan = tuple(plan_requests(run.load))
        lines = (self.directory / f"{run.name}.jsonl").read_text().splitlines()
        keys = {request.key for request in plan if request.is_order}
        return History(
            plan=plan,
            records=tuple(map(_read_record, lines)),
            runs=self._count_runs(keys),
            queries_run=self._read_queries(),
            claims=self._read_claims(keys),
            sightings=tuple(run.sightings),
            killed=frozenset(run.killed),
        )

    def _count_runs(self, keys):
        states = self.read_upstreams().values()
        counts = {
            key: sum(each["orders"].get(key, 0) for each in states) for key in keys
        }
        return {key: n_runs for key, n_runs in counts.items() if n_runs}

    def _read_queries(self):
        controls = self.upstreams.values()
        answers = [fetch_json(each, "/_control/queries") for each in controls]
        texts = [text for answer in answers for text in answer["queries"]]
        return frozenset(map(json.loads, texts))

    def _read_claims(self, keys):
        # An outage may still go on when the run ends.
        self.harm_platform()
        watched = fetch_json(self.platform, "/v1/watch?prefix=claims/&since=0")
        claims = {}
        for claimed in watched["objects"]:
            for key, row in json.loads(claimed["body"])["keys"].items():
                if key in keys:
                    is_recorded = len(row) == 5 and row[4] is not None
                    claims[key] = json.loads(row[4]) if is_recorded else None
        return claims


def _read_record(line):
    fields = json.loads(line)
    del fields["correct"]
    return Record(**fields)


def _subtract(after, before):
    return {
        name: {
            counter: value - before[name][counter]
            for counter, value in state.items()
            if type(value) is int
        }
        for name, state in after.items()
    }
