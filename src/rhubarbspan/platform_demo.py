"""The platform's daemon under traffic: seven instances beside stand-ins on loopback.

A key is withdrawn, a backend server drained, a data centre evacuated, the store silent
for a while and an instance stopped, and what callers and servers see is checked.
"""

import asyncio
from argparse import Namespace
from collections import Counter
from dataclasses import dataclass, field

from .console import print_error, print_line
from .demo import Record, Sent, check_orders, conclude
from .standins.caller import CallResult
from .standins.platform_caller import PlatformCaller
from .standins.platform_deployment import PlatformDeployment
from .standins.platform_store import Mode
from .verdict import Failure

PLACES = {
    "centro-a": "centro",
    "centro-b": "centro",
    "sur-a": "sur",
    "sur-b": "sur",
    "norte-a": "norte",
    "norte-b": "norte",
}
N_SERVERS_PER_PLACE = 3
SERVICE_S = 0.03
CALL_INTERVAL_S = 0.04
ORDER_INTERVAL_S = 0.3
UPLOAD_INTERVAL_S = 0.8
UPLOAD_BYTES = 1_500_000
LOOKUP_INTERVAL_S = 2.0
READY_TIMEOUT_S = 10.0
WARM_UP_S = 2.0
SILENT_S = 1.5
# The bounds of the deployment within which each change must be in force.
KEY_WITHDRAWN_WITHIN_S = 5.0
DRAINED_WITHIN_S = 2.5
EVACUATED_WITHIN_S = 5.0
WATCHED_S = 1.0
STOPPED_WITHIN_S = 6.0
LEAVER_KEY = "secret-leaver"


@dataclass(slots=True)
class Traffic:
    """Callers under way and what they got.

    Attributes:
        n_requests: Requests sent, to name the next one.
    """

    deployment: PlatformDeployment
    record: Record = field(default_factory=Record)
    stop: asyncio.Event = field(default_factory=asyncio.Event)
    n_requests: int = 0

    def next_id(self) -> str:
        """Name a request."""
        self.n_requests += 1
        return f"r-{self.n_requests}"


async def run_platform_demo(arguments: Namespace) -> int:
    """Run the demo; fail if a promise broke."""
    deployment = PlatformDeployment(data_centres=dict(PLACES))
    traffic = Traffic(deployment)
    record = traffic.record
    print_line("starting seven instances on the platform's stand-ins")
    await deployment.start_store()
    deployment.grant("leaver", LEAVER_KEY)
    try:
        if not await _start(deployment):
            record.broken.append("the deployment did not get ready")
        else:
            await _run_traffic(traffic)
            check_orders(record, _count_runs(deployment))
    finally:
        await deployment.stop()
    return conclude(record)


async def _start(deployment: PlatformDeployment) -> bool:
    """Start servers and instances, two of these in the first place."""
    for place in PLACES:
        for _ in range(N_SERVERS_PER_PLACE):
            server = await deployment.add_server(place)
            server.service_s = SERVICE_S
    for number, place in enumerate([*PLACES, next(iter(PLACES))]):
        instance = await deployment.add_instance(f"front-{place}-{number}", zone=place)
        if isinstance(instance, Failure):
            print_error(instance.reason)
            return False
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not deployment.is_ready():
                await asyncio.sleep(0.05)
    except TimeoutError:
        return False
    return True


async def _run_traffic(traffic: Traffic) -> None:
    tasks = [
        asyncio.create_task(_call_repeatedly(traffic, place, number))
        for number, place in enumerate(PLACES)
    ]
    await asyncio.sleep(WARM_UP_S)
    await _withdraw_key(traffic)
    await _drain_server(traffic)
    await _evacuate(traffic)
    await _silence_store(traffic)
    await _stop_instance(traffic)
    traffic.stop.set()
    await asyncio.gather(*tasks)


def _make_caller(traffic: Traffic, place: str) -> PlatformCaller:
    directories = traffic.deployment.directories(place)
    return PlatformCaller(directories, PLACES[place], place)


async def _call_repeatedly(traffic: Traffic, place: str, number: int) -> None:
    """Send look-ups, orders and uploads of one place's callers until stopped."""
    caller = _make_caller(traffic, place)
    loop = asyncio.get_running_loop()
    look_up_s = 0.0
    order_s = loop.time() + number * 0.05
    upload_s = loop.time() + number * 0.1
    calls: set[asyncio.Task[None]] = set()
    while not traffic.stop.is_set():
        if loop.time() >= look_up_s:
            look_up_s = loop.time() + LOOKUP_INTERVAL_S
            await caller.look_up()
        work = [_look(traffic, caller)]
        if loop.time() >= order_s:
            order_s += ORDER_INTERVAL_S
            work.append(_order(traffic, caller))
        if loop.time() >= upload_s:
            upload_s += UPLOAD_INTERVAL_S
            work.append(_upload(traffic, caller))
        for item in work:
            task = asyncio.create_task(item)
            calls.add(task)
            task.add_done_callback(calls.discard)
        await asyncio.sleep(CALL_INTERVAL_S)
    await asyncio.gather(*calls)


async def _look(traffic: Traffic, caller: PlatformCaller) -> None:
    request_id = traffic.next_id()
    result = await caller.send(request_id, f"/look/{request_id}")
    _note(traffic, "look", request_id, result)


async def _order(traffic: Traffic, caller: PlatformCaller) -> None:
    request_id = traffic.next_id()
    sent = Sent(request_id, "")
    traffic.record.orders.append(sent)
    result = await caller.send(request_id, "/order/x", "POST", b"order")
    sent.verdict = result.verdict
    _note(traffic, "order", request_id, result)


async def _upload(traffic: Traffic, caller: PlatformCaller) -> None:
    request_id = traffic.next_id()
    sent = Sent(request_id, "")
    traffic.record.orders.append(sent)
    body = b"x" * UPLOAD_BYTES
    result = await caller.send(request_id, "/put/x", "POST", body)
    sent.verdict = result.verdict
    _note(traffic, "put", request_id, result)


def _note(traffic: Traffic, route: str, request_id: str, result: CallResult) -> None:
    traffic.record.note(route, result)
    if result.verdict == "answered" and f":{request_id}:".encode() not in result.body:
        traffic.record.broken.append(f"{request_id}: answer of another request")


async def _withdraw_key(traffic: Traffic) -> None:
    """Withdraw a key; no instance may take it once the bound is over."""
    traffic.deployment.withdraw("leaver")
    await asyncio.sleep(KEY_WITHDRAWN_WITHIN_S)
    caller = _make_caller(traffic, "centro-a")
    caller.key = LEAVER_KEY
    for instance in traffic.deployment.instances:
        address = instance.settings.listen
        result = await caller.send_to(address, traffic.next_id(), "/look/x")
        if result.reason != "bad-key":
            text = f"{instance.settings.name} took a withdrawn key: {result.reason}"
            traffic.record.broken.append(text)
    print_line("a key was withdrawn")


async def _drain_server(traffic: Traffic) -> None:
    server = traffic.deployment.servers[0]
    traffic.deployment.drain(server)
    await asyncio.sleep(DRAINED_WITHIN_S)
    await _expect_nothing(traffic, [server.server_id])
    print_line(f"backend server {server.server_id} was drained")


async def _evacuate(traffic: Traffic) -> None:
    """Empty a data centre; its servers may start nothing until it is taken back."""
    place = "sur-b"
    traffic.deployment.evacuate(place)
    await asyncio.sleep(EVACUATED_WITHIN_S)
    await _expect_nothing(traffic, traffic.deployment.servers_of(place))
    traffic.deployment.end_evacuation(place)
    print_line(f"data centre {place} was evacuated and taken back")


async def _expect_nothing(traffic: Traffic, names: list[str]) -> None:
    servers = [s for s in traffic.deployment.servers if s.server_id in names]
    before = [server.runs.total() for server in servers]
    await asyncio.sleep(WATCHED_S)
    if [server.runs.total() for server in servers] != before:
        traffic.record.broken.append(f"{', '.join(names)} got new work")


async def _silence_store(traffic: Traffic) -> None:
    """Let the store be silent for less than the bound on withdrawn keys."""
    traffic.deployment.store.mode = Mode.SILENT
    before = Counter(traffic.record.results)
    await asyncio.sleep(SILENT_S)
    traffic.deployment.store.mode = Mode.SERVING
    during = Counter(traffic.record.results) - before
    n_answered = sum(n for key, n in during.items() if key[1] == "answered")
    print_line(
        f"the store was silent; {n_answered} of {during.total()} requests answered"
    )
    if n_answered < 0.9 * during.total():
        traffic.record.broken.append("requests were refused while the store was silent")


async def _stop_instance(traffic: Traffic) -> None:
    """Stop an instance; it must end by itself and cut nothing."""
    instance = traffic.deployment.instances.pop()
    instance.request_stop()
    try:
        async with asyncio.timeout(STOPPED_WITHIN_S):
            await instance.run()
    except TimeoutError:
        traffic.record.broken.append("an instance did not stop")
    print_line(f"instance {instance.settings.name} was stopped")


def _count_runs(deployment: PlatformDeployment) -> Counter[str]:
    runs: Counter[str] = Counter()
    for server in deployment.servers:
        runs.update(server.runs)
    return runs
