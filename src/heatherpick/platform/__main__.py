"""Entry point of a node on the users' platform."""

import gc
import os
import sys

from heatherpick._net.loop import EventLoop
from heatherpick._net.node import DirectNode
from heatherpick._net.telemetry import Counters, LineLog
from heatherpick.errors import SettingsError
from heatherpick.platform import wire
from heatherpick.platform.settings import PlatformSettings
from heatherpick.platform.store import PlatformStore

__all__ = ["main"]

STDOUT = 1
#: Allocations between two collections of the youngest generation. Requests create few
#: reference cycles, and a collection takes milliseconds.
GC_THRESHOLD = 20_000


def main():
    """Run a node until SIGTERM; return the exit code, 2 for invalid settings."""
    try:
        settings = PlatformSettings.from_environment()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    log = LineLog(STDOUT, settings.node)
    loop = EventLoop(log.report)
    counters = Counters()
    seed = int.from_bytes(os.urandom(8), "little")
    log.report("seed", seed=seed)
    node = DirectNode(
        settings,
        loop,
        PlatformStore(loop, *settings.store_address, counters),
        wire.PLATFORM_KINDS,
        log,
        counters,
        seed,
        PlatformSettings.from_environment,
        header_names=wire.PLATFORM_HEADER_NAMES,
        readiness_path=wire.READINESS_PATH,
    )
    node.start()
    # Objects created at the start live as long as the process.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 10, 10)
    loop.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
