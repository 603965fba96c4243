"""What every command has in common."""

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

    #: Word by which it is called.
    name = ""
    #: One line for ``--help``.
    summary = ""
    #: A paragraph for its own ``--help``.
    description = ""

    @abstractmethod
    def add_arguments(self, parser):
        """Add its arguments to an `argparse.ArgumentParser`."""

    @abstractmethod
    def run(self, arguments):
        """Do what the parsed ``arguments`` say and return an `ExitCode`.

        Raises
        ------
        HeatherpickError
            If the input is faulty or an exchange fails; the program prints it.
        """


@dataclass(frozen=True, slots=True)
class Context:
    """What a network command works with; tests give their own.

    Parameters
    ----------
    http : object
        Has the functions of the module treq.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of the runtime.
    """

    http: object
    clock: object


class NetworkCommand(Command):
    """A command that runs under Twisted's reactor until its coroutine ends."""

    @abstractmethod
    async def execute(self, arguments, context):
        """Do what the parsed ``arguments`` say and return an `ExitCode`."""

    def run(self, arguments):
        """Run `execute` under the reactor."""
        # Imported late: treq installs the default reactor, which is the node's choice.
        import treq
        from twisted.internet import defer, task

        results = []

        async def collect(context):
            results.append(await self._execute_safely(arguments, context))

        def main(reactor):
            return defer.ensureDeferred(collect(Context(treq, reactor)))

        try:
            task.react(main)
        except SystemExit:
            # react always ends so, also after success.
            if not results:
                raise
        return _unwrap(results[0])

    async def _execute_safely(self, arguments, context):
        # react would print a traceback of an error that leaves the coroutine.
        try:
            return await self.execute(arguments, context)
        except Exception as error:
            return error


def _unwrap(result):
    if isinstance(result, Exception):
        raise result
    return result
