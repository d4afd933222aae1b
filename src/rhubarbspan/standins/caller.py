"""A stand-in for a caller, which caches look-up answers and retries requests."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from ..wire.http import IDEMPOTENCY_HEADER, REASON_HEADER, VERDICT_HEADER

CALL_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class CallResult:
    """The result of a request as the caller sees it.

    Attributes:
        verdict: The verdict header, or ``lost`` if there was no complete response.
    """

    status: int
    verdict: str
    reason: str
    body: bytes
    latency_s: float


@dataclass(slots=True)
class CachedAnswer:
    """A look-up answer and the time when it expires."""

    addresses: list[str]
    weights: list[float]
    expires_s: float


@dataclass(slots=True)
class CallerStandIn:
    """A caller with one key.

    Attributes:
        entries: Addresses of the instances that look-ups are sent to.
        block: Client block that the caller belongs to.
        connect_timeout_s: How long it waits for a connection.
    """

    entries: list[str]
    key: str = ""
    block: str = "127.0.0.1"
    seed: int = 0
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    cache: dict[str, CachedAnswer] = field(default_factory=dict)
    results: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    latencies_s: dict[str, list[float]] = field(default_factory=dict)
    session: aiohttp.ClientSession | None = None
    rng: random.Random = field(default_factory=random.Random)

    async def __aenter__(self) -> "CallerStandIn":
        """Open the HTTP session."""
        self.rng.seed(self.seed)
        timeout = aiohttp.ClientTimeout(
            CALL_TIMEOUT_S, sock_connect=self.connect_timeout_s
        )
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def look_up(self, route: str) -> CachedAnswer | None:
        """Return which instances to use, from the cache or by a look-up.

        If no instance answers, an expired answer is returned if there is one.
        """
        now_s = asyncio.get_running_loop().time()
        cached = self.cache.get(route)
        if cached is not None and cached.expires_s > now_s:
            return cached
        for entry in self.rng.sample(self.entries, len(self.entries)):
            answer = await self._fetch_answer(entry, route, now_s)
            if answer is not None:
                self.cache[route] = answer
                return answer
        return cached

    async def _fetch_answer(
        self, entry: str, route: str, now_s: float
    ) -> CachedAnswer | None:
        assert self.session is not None
        query = {"route": route, "block": self.block}
        try:
            async with self.session.get(
                f"http://{entry}/-/lookup", params=query
            ) as response:
                if response.status != 200:
                    return None
                body = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        targets = body["targets"]
        return CachedAnswer(
            [target["address"] for target in targets],
            [target["weight"] for target in targets],
            now_s + body["lifetime_s"],
        )

    async def call(
        self,
        route: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        idempotency_key: str = "",
        n_resends: int = 2,
    ) -> CallResult:
        """Send a request, and retry it where its verdict allows that."""
        result = CallResult(0, "lost", "no-instance", b"", 0.0)
        answer = await self.look_up(route)
        if answer is None:
            return self._record(route, result)
        start_s = asyncio.get_running_loop().time()
        for number in range(n_resends + 1):
            address = self._choose(answer, number)
            result = await self.send(address, path, method, body, idempotency_key)
            is_final = result.verdict == "answered" or result.reason in FINAL_REASONS
            if is_final or not (result.verdict == "not-run" or method == "GET"):
                break
        result.latency_s = asyncio.get_running_loop().time() - start_s
        return self._record(route, result)

    def _choose(self, answer: CachedAnswer, number: int) -> str:
        if number == 0 and sum(answer.weights) > 0:
            return self.rng.choices(answer.addresses, answer.weights)[0]
        return answer.addresses[number % len(answer.addresses)]

    async def send(
        self,
        address: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        idempotency_key: str = "",
    ) -> CallResult:
        """Send one request to one instance."""
        assert self.session is not None
        headers = {}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        if idempotency_key:
            headers[IDEMPOTENCY_HEADER] = idempotency_key
        start_s = asyncio.get_running_loop().time()
        try:
            async with self.session.request(
                method, f"http://{address}{path}", data=body or None, headers=headers
            ) as response:
                content = await response.read()
                return CallResult(
                    response.status,
                    response.headers.get(VERDICT_HEADER, ""),
                    response.headers.get(REASON_HEADER, ""),
                    content,
                    asyncio.get_running_loop().time() - start_s,
                )
        except aiohttp.ClientConnectorError:
            return CallResult(0, "not-run", "connect-failed", b"", 0.0)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return CallResult(0, "lost", "connection-lost", b"", 0.0)

    def _record(self, route: str, result: CallResult) -> CallResult:
        self.results[route, result.verdict, result.reason] += 1
        self.latencies_s.setdefault(route, []).append(result.latency_s)
        return result


FINAL_REASONS = frozenset({"bad-key", "over-rate", "unknown-route", "quarantined"})
