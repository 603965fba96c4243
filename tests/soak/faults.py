"""Faults that the soak test injects from outside; several may be active at once."""

import signal
from abc import ABC, abstractmethod

import orjson

from tests.direct.test_foreign_entries import ODD_NAMES, ODD_VALUES, put_raw
from tests.soak.fleet import ENDLESS_RESPONSES

__all__ = ["FAULTS", "Fault"]


class Fault(ABC):
    """One injected fault.

    Parameters
    ----------
    fleet : Fleet
        The system under test; its random numbers choose the targets.
    """

    #: Longest time that the fault lasts, in seconds; 0 for an instantaneous one.
    max_duration_s = 4.0

    def __init__(self, fleet):
        self.fleet = fleet
        self.rng = fleet.rng

    @abstractmethod
    def inject(self):
        """Inject the fault; return a description of its targets for the output."""

    def clear(self):  # noqa: B027  Many faults are instantaneous.
        """End the fault."""

    def choose_proxies(self):
        """Return a kind of connection and a random half or fewer of its proxies."""
        fleet = self.fleet
        kind = self.rng.choice(("store", "search", "upstream"))
        proxies = {
            "store": [node.store_proxy for node in fleet.nodes],
            "search": [node.search_proxy for node in fleet.nodes],
            "upstream": [upstream.proxy for upstream in fleet.upstreams],
        }[kind]
        return kind, self.rng.sample(proxies, self.rng.randint(1, len(proxies) // 2))


class Delay(Fault):
    """Bytes on some connections are delayed."""

    def inject(self):
        kind, self.proxies = self.choose_proxies()
        delay_s = self.rng.uniform(0.01, 0.3)
        for proxy in self.proxies:
            proxy.delay_s = delay_s
        return f"{kind} {len(self.proxies)} by {delay_s * 1000:.0f} ms"

    def clear(self):
        for proxy in self.proxies:
            proxy.clear_faults()


class Blackhole(Delay):
    """Bytes are dropped silently, in one direction or both."""

    def inject(self):
        kind, self.proxies = self.choose_proxies()
        directions = self.rng.choice((["there"], ["back"], ["there", "back"]))
        for proxy in self.proxies:
            proxy.dropped_directions.update(directions)
        return f"{kind} {len(self.proxies)} {'+'.join(directions)}"


class Refuse(Delay):
    """New connections and open ones are reset."""

    def inject(self):
        kind, self.proxies = self.choose_proxies()
        for proxy in self.proxies:
            proxy.is_refusing = True
            proxy.reset_all()
        return f"{kind} {len(self.proxies)}"


class Reset(Fault):
    """Open connections are reset."""

    max_duration_s = 0.0

    def inject(self):
        kind, proxies = self.choose_proxies()
        for proxy in proxies:
            proxy.reset_all()
        return f"{kind} {len(proxies)}"


class Pause(Fault):
    """A process is stopped by SIGSTOP, briefly or for longer than most timeouts."""

    def inject(self):
        self.node = self.rng.choice(self.fleet.nodes)
        self.node.pause()
        return self.node.name

    def clear(self):
        self.node.resume()


class Kill(Fault):
    """Some processes are killed by SIGKILL and restarted."""

    max_duration_s = 0.0

    def inject(self):
        nodes = self.rng.sample(self.fleet.nodes, self.rng.choice((1, 1, 2, 5)))
        for node in nodes:
            node.send_signal(signal.SIGKILL)
        return " ".join(node.name for node in nodes)


class Restart(Fault):
    """A process gets SIGTERM, once or twice, and is restarted."""

    max_duration_s = 0.0

    def inject(self):
        node = self.rng.choice(self.fleet.nodes)
        for _ in range(self.rng.choice((1, 2))):
            node.send_signal(signal.SIGTERM)
        return node.name


class RollingRestart(Fault):
    """Several processes get SIGTERM within a second, and SIGHUP before or after it."""

    max_duration_s = 0.0

    def inject(self):
        nodes = self.rng.sample(self.fleet.nodes, self.rng.randint(2, 4))
        for node in nodes:
            signals = [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]
            for number in self.rng.sample(signals, 2):
                delay_s = self.rng.uniform(0.0, 1.0)
                self.fleet.loop.call_later(delay_s, node.send_signal, number)
        return " ".join(node.name for node in nodes)


class Reload(Fault):
    """All processes get SIGHUP, which makes them reload their settings."""

    max_duration_s = 0.0

    def inject(self):
        for node in self.fleet.nodes:
            node.send_signal(signal.SIGHUP)
        return "all"


class StoreOutage(Fault):
    """The store refuses every call."""

    def inject(self):
        self.fleet.store.is_down = True
        return ""

    def clear(self):
        self.fleet.store.is_down = False


class StoreRefusesNodes(Fault):
    """The store refuses the calls of some nodes."""

    def inject(self):
        names = [node.name for node in self.rng.sample(self.fleet.nodes, 2)]
        self.fleet.store.refuse_nodes(names)
        return " ".join(names)

    def clear(self):
        self.fleet.store.refuse_nodes(())


class StoreLosesHistory(Fault):
    """The store loses its history of changes."""

    max_duration_s = 0.0

    def inject(self):
        self.fleet.store.forget_history()
        return ""


class UpstreamHangs(Fault):
    """Some upstreams accept requests and never respond."""

    def inject(self):
        self.upstreams = self.rng.sample(self.fleet.upstreams, 2)
        for upstream in self.upstreams:
            upstream.is_hanging = True
        return " ".join(upstream.id for upstream in self.upstreams)

    def clear(self):
        for upstream in self.upstreams:
            upstream.is_hanging = False


class UpstreamEndlessResponse(Fault):
    """Some upstreams send responses that never end."""

    def inject(self):
        self.upstreams = self.rng.sample(self.fleet.upstreams, 2)
        for upstream in self.upstreams:
            upstream.endless_kind = self.rng.choice(sorted(ENDLESS_RESPONSES))
        return " ".join(f"{each.id} {each.endless_kind}" for each in self.upstreams)

    def clear(self):
        for upstream in self.upstreams:
            upstream.endless_kind = None


class UpstreamSlow(Fault):
    """Some upstreams respond slowly."""

    def inject(self):
        self.upstreams = self.rng.sample(self.fleet.upstreams, 3)
        for upstream in self.upstreams:
            upstream.delay_s = self.rng.uniform(0.05, 0.5)
        return " ".join(upstream.id for upstream in self.upstreams)

    def clear(self):
        for upstream in self.upstreams:
            upstream.delay_s = 0.0


class UpstreamRejects(Fault):
    """Upstreams reject requests, and send second copies of some responses late."""

    def inject(self):
        self.upstreams = self.rng.sample(self.fleet.upstreams, 4)
        for upstream in self.upstreams:
            upstream.reject_share = 0.6
            upstream.copy_share = self.rng.choice((0.0, 0.3))
        return " ".join(upstream.id for upstream in self.upstreams)

    def clear(self):
        for upstream in self.upstreams:
            upstream.reject_share = upstream.copy_share = 0.0


class ForeignObject(Fault):
    """Another writer puts an odd object beside those that nodes read.

    Half of them stay to the end of the run, so that nodes start and changes come beside
    them.
    """

    def inject(self):
        self.stays = self.rng.random() < 0.5
        kinds = ("servers", "evacuations", "heatherpick-nodes")
        self.kind = self.rng.choice(kinds)
        self.name = self.rng.choice([b'"odd"', *ODD_NAMES])
        value_name = self.rng.choice([*ODD_VALUES, None])
        value = ODD_VALUES.get(value_name)
        if value is None:
            upstream = self.rng.choice(self.fleet.upstreams)
            value = orjson.dumps(
                self.fleet.store.objects["servers"][upstream.id]["spec"]
            )
        put_raw(self.fleet.store, self.kind, self.name, value)
        return f"{self.kind} {self.name[:30]!r} {value_name}"

    def clear(self):
        # Two faults may have put an object of the same name.
        if not self.stays and self.name in self.fleet.store.objects[self.kind]:
            self.fleet.store.delete(self.kind, self.name)


class Publish(Fault):
    """Operators publish one version, or several in quick succession."""

    max_duration_s = 0.0

    def inject(self):
        for _ in range(self.rng.choice((1, 1, 4))):
            self.fleet.publish()
        return f"version {self.fleet.version}"


FAULTS = (
    Delay,
    Blackhole,
    Refuse,
    Reset,
    Pause,
    Kill,
    Restart,
    RollingRestart,
    Reload,
    StoreOutage,
    StoreRefusesNodes,
    StoreLosesHistory,
    UpstreamHangs,
    UpstreamEndlessResponse,
    UpstreamSlow,
    UpstreamRejects,
    ForeignObject,
    Publish,
)
