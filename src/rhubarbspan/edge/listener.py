"""Accepts connections, at its end also those that the system has accepted by then."""

import asyncio
import socket
from collections.abc import Callable

import logbook

LOG = logbook.Logger("rhubarbspan.server")
BACKLOG = 1024
# Pause after an error of accepting, which lasts while the machine is out of something.
ERROR_PAUSE_S = 0.1
# Turns of the event loop in which it reads what has arrived on a connection that was
# just set up, and its request is known.
N_READ_TURNS = 5


class Listener:
    """Listens on an address.

    The system completes connections, and takes requests on them, before a process sees
    them. If the socket is closed then, they are reset, and the callers cannot know
    whether their requests have run.

    Attributes:
        socket: The listening socket.
    """

    __slots__ = ("socket", "_on_accept", "_n_per_turn", "_loop", "_resumption")

    def __init__(
        self,
        host: str,
        port: int,
        on_accept: Callable[[socket.socket, str], None],
        n_per_turn: int,
    ) -> None:
        """Listen on an address.

        Args:
            host: IP address.
            port: Port.
            on_accept: Receives each accepted connection and its caller's address.
            n_per_turn: Connections accepted in one turn of the event loop.

        Raises:
            OSError: If the address cannot be used.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self.socket.setblocking(False)
        self._on_accept = on_accept
        self._n_per_turn = n_per_turn
        self._loop = asyncio.get_running_loop()
        self._resumption: asyncio.TimerHandle | None = None
        self._resume()

    def close(self) -> None:
        """Accept what the system has accepted, and stop listening."""
        self._loop.remove_reader(self.socket)
        while self._accept_one():
            pass
        if self._resumption is not None:
            self._resumption.cancel()
        self.socket.close()

    def _resume(self) -> None:
        self._loop.add_reader(self.socket, self._accept_some)

    def _accept_some(self) -> None:
        for _ in range(self._n_per_turn):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection; return whether there may be more."""
        try:
            accepted, name = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            LOG.warning("a connection was not accepted: {}", error)
            self._loop.remove_reader(self.socket)
            self._resumption = self._loop.call_later(ERROR_PAUSE_S, self._resume)
            return False
        accepted.setblocking(False)
        self._on_accept(accepted, str(name[0]))
        return True


async def let_requests_arrive() -> None:
    """Let the event loop read what has arrived on connections that were just set up."""
    for _ in range(N_READ_TURNS):
        await asyncio.sleep(0)
