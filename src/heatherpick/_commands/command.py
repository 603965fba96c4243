"""Base classes of the commands."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Command", "Context", "ExitCode", "NetworkCommand"]


class ExitCode(IntEnum):
    """Exit codes of the program."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    NO_PLATFORM = 4


class Command(ABC):
    """One subcommand of the program."""

    #: Name on the command line.
    name = ""
    #: One line for ``--help``.
    summary = ""
    #: One paragraph for the ``--help`` of the command.
    description = ""

    @abstractmethod
    def add_arguments(self, parser):
        """Add its arguments to an `argparse.ArgumentParser`."""

    @abstractmethod
    def run(self, arguments):
        """Run the command with the parsed ``arguments`` and return an `ExitCode`.

        Raises
        ------
        HeatherpickError
            If the input is faulty or an HTTP exchange fails; the program prints it.
        """


@dataclass(frozen=True, slots=True)
class Context:
    """Dependencies of a network command, which tests replace.

    Parameters
    ----------
    http : object
        HTTP client with the functions of the module treq.
    clock : twisted.internet.interfaces.IReactorTime
        Clock for time limits and delays.
    """

    http: object
    clock: object


class NetworkCommand(Command):
    """A command that runs under Twisted's reactor until its coroutine ends."""

    @abstractmethod
    async def execute(self, arguments, context):
        """Run the command with the parsed ``arguments`` and return an `ExitCode`."""

    def run(self, arguments):
        """Run `execute` under the reactor."""
        # Imported late: treq installs the default reactor, which a node chooses itself.
        import treq
        from twisted.internet import defer, task

        results = []

        async def collect_result(context):
            results.append(await self._execute_and_catch(arguments, context))

        def main(reactor):
            return defer.ensureDeferred(collect_result(Context(treq, reactor)))

        try:
            task.react(main)
        except SystemExit:
            # react always raises SystemExit, also after success.
            if not results:
                raise
        return _unwrap(results[0])

    async def _execute_and_catch(self, arguments, context):
        # react would print a traceback of an error raised by the coroutine.
        try:
            return await self.execute(arguments, context)
        except Exception as error:
            return error


def _unwrap(result):
    if isinstance(result, Exception):
        raise result
    return result
