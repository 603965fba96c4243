"""Event loop on epoll; its clock includes the time that the VM is suspended."""

import os
import select
import signal
import time
from heapq import heappop, heappush

__all__ = ["EventLoop", "Timer"]

#: Limit on the events handled in one iteration, so that due timers are not starved.
MAX_EVENTS_PER_ITERATION = 256
#: Cancelled timers kept in the heap before it is compacted.
MAX_CANCELLED_TIMERS = 512


class Timer:
    """A scheduled call.

    Attributes
    ----------
    loop : EventLoop
        Runs the call.
    due_s : float
        Time of the call on the loop's clock, in seconds.
    function : callable or None
        None once it has been called or cancelled.
    args : tuple
        Arguments of the function.
    """

    __slots__ = ("args", "due_s", "function", "loop")

    def __init__(self, loop, due_s, function, args):
        self.loop = loop
        self.due_s = due_s
        self.function = function
        self.args = args

    def cancel(self):
        """Prevent the call, unless it has been made."""
        if self.function is not None:
            self.function = None
            self.args = ()
            self.loop._count_cancelled_timer()

    def __lt__(self, other):
        """Order timers by time, for the heap."""
        return self.due_s < other.due_s


class EventLoop:
    """Calls handlers of ready sockets and due timers, one at a time.

    Handlers are called with the epoll events as a bit mask. Sockets are handled before
    timers, so that a response that has already arrived never counts as timed out.

    Parameters
    ----------
    report : callable
        ``report(message, **fields)`` logs an exception that a handler raised.
    """

    def __init__(self, report):
        self._report = report
        self._epoll = select.epoll()
        self._handlers = {}
        self._timers = []
        self._pending_calls = []
        self._n_cancelled = 0
        self._is_running = False
        self._signal_handlers = {}
        self._wakeup_fd = None

    @staticmethod
    def seconds():
        """Return the time since the VM booted, including suspension, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_at(self, due_s, function, *args):
        """Call a function at ``due_s`` on the loop's clock; return its `Timer`."""
        timer = Timer(self, due_s, function, args)
        heappush(self._timers, timer)
        return timer

    def call_later(self, delay_s, function, *args):
        """Call a function after a delay in seconds; return its `Timer`."""
        return self.call_at(self.seconds() + delay_s, function, *args)

    def call_soon(self, function, *args):
        """Call a function in this iteration, after the sockets that are ready."""
        self._pending_calls.append((function, args))

    def watch(self, fd, mask, handler):
        """Call ``handler(events)`` whenever ``fd`` has events of ``mask``."""
        self._handlers[fd] = handler
        self._epoll.register(fd, mask)

    def modify(self, fd, mask):
        """Change the event mask of a watched ``fd``."""
        self._epoll.modify(fd, mask)

    def unwatch(self, fd):
        """Stop watching ``fd``; must be called before it is closed."""
        if self._handlers.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def add_signal_handler(self, signal_number, function):
        """Call ``function()`` from the loop when the process receives a signal."""
        if self._wakeup_fd is None:
            read_fd, write_fd = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
            signal.set_wakeup_fd(write_fd, warn_on_full_buffer=False)
            self._wakeup_fd = read_fd
            self.watch(read_fd, select.EPOLLIN, self._read_signals)
        self._signal_handlers[signal_number] = function
        signal.signal(signal_number, lambda *_: None)

    def stop(self):
        """Return from `run` after the current iteration."""
        self._is_running = False

    def run(self):
        """Run until `stop`."""
        self._is_running = True
        while self._is_running:
            self.run_once()

    def run_once(self, max_wait_s=1.0):
        """Run one iteration: wait for events or the next timer and call handlers.

        Parameters
        ----------
        max_wait_s : float, default=1.0
            Longest wait, in seconds.
        """
        timers = self._timers
        wait_s = max_wait_s
        if self._pending_calls:
            wait_s = 0.0
        elif timers:
            wait_s = min(max(0.0, timers[0].due_s - self.seconds()), max_wait_s)
        ready = [
            (fd, events, self._handlers.get(fd))
            for fd, events in self._epoll.poll(wait_s, MAX_EVENTS_PER_ITERATION)
        ]
        for fd, events, handler in ready:
            # A handler before may have closed the descriptor, and opened it again.
            if handler is not None and self._handlers.get(fd) is handler:
                self.call_guarded(handler, events)
        while self._pending_calls:
            calls, self._pending_calls = self._pending_calls, []
            for function, args in calls:
                self.call_guarded(function, *args)
        now = self.seconds()
        while timers and timers[0].due_s <= now:
            timer = heappop(timers)
            function = timer.function
            if function is None:
                self._n_cancelled -= 1
                continue
            timer.function = None
            self.call_guarded(function, *timer.args)

    def call_guarded(self, function, *args):
        """Call a function now, and log an exception that it raises.

        Callers use this where work of their own must follow, whatever the function
        does, and where an exception would leave through a callback of a C library.

        Returns
        -------
        bool
            Whether the function returned without an exception.
        """
        try:
            function(*args)
        except Exception as error:
            self.report_failure(function, error)
            return False
        return True

    def report_failure(self, function, error):
        """Log an exception that a function raised."""
        self._report(
            "handler failed",
            handler=getattr(function, "__qualname__", repr(function)),
            error=repr(error),
            place=_format_location(error),
        )

    def _read_signals(self, _events):
        for signal_number in os.read(self._wakeup_fd, 64):
            function = self._signal_handlers.get(signal_number)
            if function is not None:
                function()

    def _count_cancelled_timer(self):
        self._n_cancelled += 1
        if (
            self._n_cancelled > MAX_CANCELLED_TIMERS
            and self._n_cancelled > len(self._timers) / 2
        ):
            active_timers = [
                timer for timer in self._timers if timer.function is not None
            ]
            # A sorted list is a heap. The list object is kept, as `run_once` may be
            # iterating over it.
            active_timers.sort()
            self._timers[:] = active_timers
            self._n_cancelled = 0


def _format_location(error):
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return ""
    return f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}"
