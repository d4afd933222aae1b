"""A stand-in for a caller on the platform: looks up instances and sends requests."""

import asyncio
import json
import random
from dataclasses import dataclass, field

from .caller import CallResult
from .platform_deployment import HOST, KEY, Reply, send_request

# Statuses that guarantee that the request has not run and will not run.
NOT_RUN = frozenset({408, 421, 429, 503})
ANSWERED = frozenset({200})
# Statuses that leave open whether the request has run.
UNCERTAIN = frozenset({500, 502, 504})


@dataclass(slots=True)
class PlatformCaller:
    """A caller in one data centre.

    Attributes:
        directories: Look-up addresses of instances, in the order in which they are
            tried.
        addresses: Addresses of the instances that the latest look-up returned.
    """

    directories: list[str]
    region: str
    zone: str
    key: str = KEY
    rng: random.Random = field(default_factory=random.Random)
    addresses: list[str] = field(default_factory=list)

    async def look_up(self) -> None:
        """Look up the instances to connect to.

        The look-up addresses are tried in turn. If none answers, the addresses of the
        previous look-up stay.
        """
        target = f"/api/resolve?name={HOST}&region={self.region}&zone={self.zone}"
        for directory in self.directories:
            try:
                reply = await send_request(directory, target)
            except OSError:
                continue
            if reply.status == 200:
                self.addresses = json.loads(reply.body)["addresses"]
                return

    async def send(
        self, request_id: str, target: str, method: str = "GET", body: bytes = b""
    ) -> CallResult:
        """Send one request to a random instance among those looked up."""
        address = self.rng.choice(self.addresses)
        return await self.send_to(address, request_id, target, method, body)

    async def send_to(
        self,
        address: str,
        request_id: str,
        target: str,
        method: str = "GET",
        body: bytes = b"",
    ) -> CallResult:
        """Send one request to an instance, without retries."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        headers = {"X_Request_Id": request_id, "X_Credential": self.key}
        try:
            reply = await send_request(address, target, method, body, **headers)
        except (OSError, TimeoutError) as error:
            text = type(error).__name__
            return CallResult(0, "lost", text, b"", loop.time() - start_s)
        verdict = verdict_of(reply)
        reason = "" if verdict == "answered" else reply.body.decode().strip()
        return CallResult(
            reply.status, verdict, reason, reply.body, loop.time() - start_s
        )


def verdict_of(reply: Reply) -> str:
    """Return the verdict that a response's status stands for."""
    if reply.status in ANSWERED:
        return "answered"
    return "may-have-run" if reply.status in UNCERTAIN else "not-run"
