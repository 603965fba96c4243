"""The platform's entry: readiness checks, and the choice of a node for a connection."""

import asyncio
import random

CHECK_INTERVAL_S = 1.0
N_MISSES = 2


class Balancer:
    """Sends the connections of one zone's clients to the zone's nodes in rotation.

    Parameters
    ----------
    nodes : sequence of Node
        The nodes of the zone.
    record : Record
        Receives each change of the rotation.
    """

    def __init__(self, nodes, record):
        self._nodes = list(nodes)
        self._record = record
        self._n_misses = {node.name: 0 for node in nodes}
        self._rng = random.Random(2)
        self._task = None

    def start(self):
        """Begin the checks, one round a second."""
        self._task = asyncio.create_task(self._run_checks())

    def stop(self):
        """End the checks."""
        self._task.cancel()

    def list_rotation(self):
        """Return the nodes that have not missed two checks in a row."""
        return [node for node in self._nodes if self._n_misses[node.name] < N_MISSES]

    def choose(self):
        """Return the node of a new connection.

        If fewer than half of the nodes are in rotation, all of them are used.
        """
        rotation = self.list_rotation()
        if 2 * len(rotation) < len(self._nodes):
            rotation = self._nodes
        return self._rng.choice(rotation)

    async def _run_checks(self):
        while True:
            results = await asyncio.gather(*[node.is_ready() for node in self._nodes])
            before = self.list_rotation()
            for node, is_ready in zip(self._nodes, results, strict=True):
                misses = 0 if is_ready else self._n_misses[node.name] + 1
                self._n_misses[node.name] = misses
            if self.list_rotation() != before:
                names = [node.name for node in self.list_rotation()]
                self._record.write("rotation", nodes=names)
            await asyncio.sleep(CHECK_INTERVAL_S)
