"""A simulation of backend servers in virtual time: slots, sheds, slowness, crashes."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..inputs import Completed, ConnectFailed, ConnectionLost, Outcome, Shed

Report = Callable[[Outcome], None]


@dataclass(slots=True)
class ServerTask:
    """A request for a server to run.

    Attributes:
        service_s: Service time on a server with a slowness of 1.
        report: Called with the outcome as soon as the server knows it.
    """

    idempotency_key: str
    body_digest: str
    service_s: float
    report: Report


@dataclass(slots=True)
class VirtualServer:
    """A backend server with a number of slots.

    Attributes:
        generation: Number of the server process, which increases with each crash.
        n_foreign: Slots in use by requests that come from other systems.
        slowness: Factor by which service times are multiplied.
        starts_s: Times at which the server started requests.
        max_used: Largest number of slots in use at the same time.
    """

    server_id: str
    pool: str
    data_centre: str
    region: str
    n_slots: int
    running: dict[int, ServerTask] = field(default_factory=dict)
    generation: int = 1
    is_down: bool = False
    is_leaving: bool = False
    n_foreign: int = 0
    slowness: float = 1.0
    starts_s: list[float] = field(default_factory=list)
    max_used: int = 0

    @property
    def n_used(self) -> int:
        """Return the number of slots in use, foreign ones included."""
        return len(self.running) + self.n_foreign


@dataclass(slots=True)
class VirtualServers:
    """All backend servers.

    Attributes:
        schedule: Runs an action after a delay.
        runs: Number of completed runs by idempotency key.
        crash_digest: A request whose body has this digest crashes each server that
            starts it.
        n_tasks: Number of requests that servers started.
    """

    schedule: Callable[[float, Callable[[], None]], None]
    rows: dict[str, VirtualServer] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    crash_digest: str = ""
    n_crashes: int = 0
    n_tasks: int = 0

    def receive_task(self, server_id: str, task: ServerTask, now_s: float) -> None:
        """Start a request on a server, or report at once why it does not run."""
        server = self.rows[server_id]
        if server.is_down:
            task.report(ConnectFailed())
            return
        if server.n_used >= server.n_slots:
            task.report(Shed())
            return
        self.n_tasks += 1
        number = self.n_tasks
        server.running[number] = task
        server.starts_s.append(now_s)
        server.max_used = max(server.max_used, server.n_used)
        if self.crash_digest and task.body_digest == self.crash_digest:
            self.crash(server)
            return
        generation = server.generation

        def finish() -> None:
            if (
                server.generation == generation
                and server.running.pop(number, None) is not None
            ):
                self.runs[task.idempotency_key] += bool(task.idempotency_key)
                task.report(Completed(200))

        self.schedule(task.service_s * server.slowness, finish)

    def crash(self, server: VirtualServer) -> None:
        """Crash a server's process; its next generation starts at once."""
        self.n_crashes += 1
        server.generation += 1
        lost = list(server.running.values())
        server.running.clear()
        for task in lost:
            task.report(ConnectionLost())
