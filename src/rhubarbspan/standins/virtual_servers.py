"""A simulation of backend servers in virtual time: slots, sheds, slowness, crashes."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..inputs import Completed, ConnectFailed, ConnectionLost, Outcome, Shed

Report = Callable[[Outcome], None]
# Service time on a server that is warm for the object, as a fraction of the cold one.
WARM_FRACTION = 1 / 3


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
    object_key: str = ""


@dataclass(slots=True)
class VirtualServer:
    """A backend server with a number of slots.

    Attributes:
        generation: Number of the server process, which increases with each crash.
        n_foreign: Slots in use by requests that come from other systems.
        slowness: Factor by which service times are multiplied.
        starts_s: Times at which the server started requests.
        max_used: Largest number of slots in use at the same time.
        n_queue_places: Requests beyond its slots that may wait inside the server.
        n_objects_kept: Objects that the server is warm for, 0 if service times do not
            depend on the object.
        n_load_figures: Figures of the load report in responses: none, three, or four
            with the speed of the machine.
        does_report_answered: Whether the report in a response still counts the request
            that it answers.
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
    n_queue_places: int = 0
    n_objects_kept: int = 0
    n_load_figures: int = 0
    does_report_answered: bool = False
    waiting: deque[ServerTask] = field(default_factory=deque)
    warm_objects: dict[str, None] = field(default_factory=dict)

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
        n_received: Number of requests that reached a server that was up.
        n_rejected: Number of those that were rejected, as all places were taken.
    """

    schedule: Callable[[float, Callable[[], None]], None]
    rows: dict[str, VirtualServer] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    crash_digest: str = ""
    n_crashes: int = 0
    n_tasks: int = 0
    n_received: int = 0
    n_rejected: int = 0

    def receive_task(self, server_id: str, task: ServerTask, now_s: float) -> None:
        """Start or queue a request, or report at once why it does not run."""
        server = self.rows[server_id]
        if server.is_down:
            task.report(ConnectFailed())
            return
        self.n_received += 1
        if server.n_used < server.n_slots:
            self._start_task(server, task, now_s)
        elif len(server.waiting) < server.n_queue_places:
            server.waiting.append(task)
        else:
            self.n_rejected += 1
            task.report(Shed())

    def _start_task(
        self, server: VirtualServer, task: ServerTask, now_s: float
    ) -> None:
        self.n_tasks += 1
        number = self.n_tasks
        server.running[number] = task
        server.starts_s.append(now_s)
        server.max_used = max(server.max_used, server.n_used)
        if self.crash_digest and task.body_digest == self.crash_digest:
            self.crash(server)
            return
        generation = server.generation
        duration_s = task.service_s * server.slowness * _warm_factor(server, task)

        def finish() -> None:
            if (
                server.generation == generation
                and server.running.pop(number, None) is not None
            ):
                self.runs[task.idempotency_key] += bool(task.idempotency_key)
                task.report(Completed(200))
                if server.waiting and server.n_used < server.n_slots:
                    next_task = server.waiting.popleft()
                    self._start_task(server, next_task, now_s + duration_s)

        self.schedule(duration_s, finish)

    def crash(self, server: VirtualServer) -> None:
        """Crash a server's process; its next generation starts at once."""
        self.n_crashes += 1
        server.generation += 1
        lost = [*server.running.values(), *server.waiting]
        server.running.clear()
        server.waiting.clear()
        server.warm_objects.clear()
        for task in lost:
            task.report(ConnectionLost())


def _warm_factor(server: VirtualServer, task: ServerTask) -> float:
    """Record the use of an object; return the factor of its service time."""
    if not server.n_objects_kept or not task.object_key:
        return 1.0
    was_warm = task.object_key in server.warm_objects
    server.warm_objects.pop(task.object_key, None)
    server.warm_objects[task.object_key] = None
    if len(server.warm_objects) > server.n_objects_kept:
        del server.warm_objects[next(iter(server.warm_objects))]
    return WARM_FRACTION if was_warm else 1.0
