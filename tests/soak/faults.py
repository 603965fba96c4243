"""What the soak does to a site, from outside; faults come in series and overlap."""

import signal
from abc import ABC, abstractmethod

from tests.soak.world import ENDLESS

__all__ = ["FAULTS", "Fault"]


class Fault(ABC):
    """One disturbance.

    Parameters
    ----------
    world : World
        The site; its random numbers choose what is harmed.
    """

    #: Longest time that the fault lasts, in seconds; 0 for one that is over at once.
    most_s = 4.0

    def __init__(self, world):
        self.world = world
        self.rng = world.rng

    @abstractmethod
    def begin(self):
        """Harm something; return a word on what, for the report."""

    def end(self):  # noqa: B027  Many faults are over at once.
        """Heal it."""

    def choose_proxies(self):
        """Return the proxies of one kind of connection, or some of them."""
        world = self.world
        kind = self.rng.choice(("store", "search", "upstream"))
        proxies = {
            "store": [node.store_proxy for node in world.nodes],
            "search": [node.search_proxy for node in world.nodes],
            "upstream": [upstream.proxy for upstream in world.upstreams],
        }[kind]
        return kind, self.rng.sample(proxies, self.rng.randint(1, len(proxies) // 2))


class Delay(Fault):
    """Connections become slow."""

    def begin(self):
        kind, self.proxies = self.choose_proxies()
        delay_s = self.rng.uniform(0.01, 0.3)
        for proxy in self.proxies:
            proxy.delay_s = delay_s
        return f"{kind} {len(self.proxies)} by {delay_s * 1000:.0f} ms"

    def end(self):
        for proxy in self.proxies:
            proxy.heal()


class Silence(Delay):
    """Bytes vanish, in one direction or both, without a sign."""

    def begin(self):
        kind, self.proxies = self.choose_proxies()
        ways = self.rng.choice((["there"], ["back"], ["there", "back"]))
        for proxy in self.proxies:
            proxy.silenced.update(ways)
        return f"{kind} {len(self.proxies)} {'+'.join(ways)}"


class Refuse(Delay):
    """New connections are reset, and open ones too."""

    def begin(self):
        kind, self.proxies = self.choose_proxies()
        for proxy in self.proxies:
            proxy.is_refusing = True
            proxy.reset_all()
        return f"{kind} {len(self.proxies)}"


class Reset(Fault):
    """Open connections are reset."""

    most_s = 0.0

    def begin(self):
        kind, proxies = self.choose_proxies()
        for proxy in proxies:
            proxy.reset_all()
        return f"{kind} {len(proxies)}"


class Pause(Fault):
    """A process stands still, for longer than most timeouts or for an instant."""

    def begin(self):
        self.node = self.rng.choice(self.world.nodes)
        self.node.pause()
        return self.node.name

    def end(self):
        self.node.resume()


class Kill(Fault):
    """Some processes are killed, and start again."""

    most_s = 0.0

    def begin(self):
        nodes = self.rng.sample(self.world.nodes, self.rng.choice((1, 1, 2, 5)))
        for node in nodes:
            node.send_signal(signal.SIGKILL)
        return " ".join(node.name for node in nodes)


class Restart(Fault):
    """A process is told to end, once or twice, and starts again."""

    most_s = 0.0

    def begin(self):
        node = self.rng.choice(self.world.nodes)
        for _ in range(self.rng.choice((1, 2))):
            node.send_signal(signal.SIGTERM)
        return node.name


class Reload(Fault):
    """Processes are told that their settings have changed."""

    most_s = 0.0

    def begin(self):
        for node in self.world.nodes:
            node.send_signal(signal.SIGHUP)
        return "all"


class StoreDown(Fault):
    """The store refuses every call."""

    def begin(self):
        self.world.store.is_down = True
        return ""

    def end(self):
        self.world.store.is_down = False


class StoreTurnsAway(Fault):
    """The store refuses the calls of some nodes."""

    def begin(self):
        names = [node.name for node in self.rng.sample(self.world.nodes, 2)]
        self.world.store.refuse_nodes(names)
        return " ".join(names)

    def end(self):
        self.world.store.refuse_nodes(())


class StoreForgets(Fault):
    """The store forgets its history."""

    most_s = 0.0

    def begin(self):
        self.world.store.forget_history()
        return ""


class UpstreamSilent(Fault):
    """Upstreams take requests and never answer."""

    def begin(self):
        self.upstreams = self.rng.sample(self.world.upstreams, 2)
        for upstream in self.upstreams:
            upstream.is_silent = True
        return " ".join(upstream.id for upstream in self.upstreams)

    def end(self):
        for upstream in self.upstreams:
            upstream.is_silent = False


class UpstreamEndless(Fault):
    """Upstreams answer by bytes without end."""

    def begin(self):
        self.upstreams = self.rng.sample(self.world.upstreams, 2)
        for upstream in self.upstreams:
            upstream.endless = self.rng.choice(sorted(ENDLESS))
        return " ".join(f"{each.id} {each.endless}" for each in self.upstreams)

    def end(self):
        for upstream in self.upstreams:
            upstream.endless = None


class UpstreamSlow(Fault):
    """Upstreams take long."""

    def begin(self):
        self.upstreams = self.rng.sample(self.world.upstreams, 3)
        for upstream in self.upstreams:
            upstream.delay_s = self.rng.uniform(0.05, 0.5)
        return " ".join(upstream.id for upstream in self.upstreams)

    def end(self):
        for upstream in self.upstreams:
            upstream.delay_s = 0.0


class Publish(Fault):
    """Operators publish versions, in quick succession."""

    most_s = 0.0

    def begin(self):
        for _ in range(self.rng.choice((1, 1, 4))):
            self.world.publish()
        return f"version {self.world.version}"


FAULTS = (
    Delay,
    Silence,
    Refuse,
    Reset,
    Pause,
    Kill,
    Restart,
    Reload,
    StoreDown,
    StoreTurnsAway,
    StoreForgets,
    UpstreamSilent,
    UpstreamEndless,
    UpstreamSlow,
    Publish,
)
