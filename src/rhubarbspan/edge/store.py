"""A client of the platform's key-value store and service catalog."""

from dataclasses import dataclass

import aiohttp

from ..bodies import read_body
from ..client_session import open_session
from ..keyvalue import (
    ERA_ENDED,
    OLD_ERA,
    STORE_DOWN,
    STORE_GARBAGE,
    STORE_UNCLEAR,
    Committed,
    Conflict,
    Operation,
    Reading,
    TransactionResult,
)
from ..platform.era import ERA_HEADER, Eras, parse_era
from ..verdict import Failure
from ..wire import consul

BLOCKING_READ_S = 30.0
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


@dataclass(slots=True)
class StoreResponse:
    """A response of the store.

    Attributes:
        index: The store's modification index, 0 if the response has none.
        era: Era of the store, 0 if the response has none.
    """

    status: int
    body: bytes
    index: int
    era: int


class HttpStore:
    """Accesses the store over HTTP.

    Attributes:
        address: IP address and port.
        eras: Eras of the responses. Indexes of two eras are never compared.
    """

    __slots__ = ("address", "eras", "_session")

    def __init__(self, address: str) -> None:
        self.address = address
        self.eras = Eras()
        self._session: aiohttp.ClientSession | None = None

    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP client session, which the first call creates."""
        if self._session is None:
            timeout = aiohttp.ClientTimeout(CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
            self._session = open_session(timeout=timeout)
        return self._session

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read(
        self, key: str, is_prefix: bool = False, after_index: int = 0
    ) -> Reading | Failure:
        """Read a key or a prefix; see ``keyvalue.Store``."""
        query = {}
        timeout_s = CALL_TIMEOUT_S
        if is_prefix:
            query["recurse"] = "true"
        if after_index:
            query["index"] = str(after_index)
            query["wait"] = f"{BLOCKING_READ_S:g}s"
            timeout_s += BLOCKING_READ_S
        call = self._call("GET", f"/v1/kv/{key}", b"", query, timeout_s)
        response = await (self.eras.until_risen(call) if after_index else call)
        match response:
            case None:
                return Failure(ERA_ENDED, "the store was restored from a copy")
            case Failure():
                return response
            case StoreResponse(status=status, body=body, index=index, era=era):
                if era < self.eras.newest and status in (HTTP_OK, HTTP_NOT_FOUND):
                    text = f"era {era}, after era {self.eras.newest}"
                    return Failure(OLD_ERA, f"the response is of {text}")
                if status == HTTP_NOT_FOUND:
                    return Reading([], index, era)
                if status != HTTP_OK:
                    # An error status counts as a response that cannot be decoded.
                    return Failure(
                        STORE_GARBAGE, f"the store responded with HTTP status {status}"
                    )
                entries = consul.decode_entries(body)
                if isinstance(entries, Failure):
                    return entries
                return Reading(entries, index, era)

    async def transact(self, operations: list[Operation]) -> TransactionResult:
        """Carry out a transaction; see ``keyvalue.Store``."""
        body = consul.encode_transaction(operations)
        response = await self._call("PUT", "/v1/txn", body, {}, CALL_TIMEOUT_S)
        if isinstance(response, Failure):
            return response
        if response.status == HTTP_OK:
            return Committed()
        if response.status != HTTP_CONFLICT:
            return Failure(
                STORE_UNCLEAR,
                f"the store responded with HTTP status {response.status}",
            )
        failed = consul.decode_transaction_errors(response.body)
        if isinstance(failed, Failure):
            return failed
        return Conflict(failed)

    async def open_session(self, ttl_s: float) -> str | Failure:
        """Open a session in the store; see ``keyvalue.Store``."""
        text = f'{{"TTL": "{ttl_s:g}s", "Behavior": "delete", "LockDelay": "0s"}}'
        response = await self._call(
            "PUT", "/v1/session/create", text.encode(), {}, CALL_TIMEOUT_S
        )
        if isinstance(response, Failure):
            return response
        if response.status != HTTP_OK:
            return Failure(
                STORE_UNCLEAR,
                f"the store responded with HTTP status {response.status}",
            )
        return consul.decode_session(response.body)

    async def list_processes(
        self, service: str
    ) -> list[consul.ServiceBody | Failure] | Failure:
        """Read the platform's list of the processes of a service.

        Returns:
            A process, or what is wrong with it, for each entry; a failure if there is
            no list that can be read.
        """
        path = f"/v1/health/service/{service}"
        response = await self._call("GET", path, b"", {}, CALL_TIMEOUT_S)
        if isinstance(response, Failure):
            return response
        if response.status != HTTP_OK:
            # An error status counts as a response that cannot be decoded.
            return Failure(
                STORE_GARBAGE,
                f"the service list responded with HTTP status {response.status}",
            )
        return consul.decode_services(response.body)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        query: dict[str, str],
        timeout_s: float,
    ) -> StoreResponse | Failure:
        timeout = aiohttp.ClientTimeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        url = f"http://{self.address}{path}"
        try:
            async with self.session().request(
                method, url, params=query, data=body, timeout=timeout
            ) as response:
                index = response.headers.get(consul.INDEX_HEADER, "0")
                content = await read_body(response)
                if isinstance(content, Failure):
                    text = f"{self.address}{path}: {content.reason}"
                    return Failure(STORE_UNCLEAR, text)
                number = int(index) if index.isdigit() else 0
                era = parse_era(response.headers.get(ERA_HEADER))
                if response.status in (HTTP_OK, HTTP_NOT_FOUND):
                    self.eras.note(era)
                return StoreResponse(response.status, content, number, era)
        except aiohttp.ClientConnectorError as error:
            return Failure(STORE_DOWN, f"cannot connect to {self.address}: {error}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = type(error).__name__
            return Failure(
                STORE_UNCLEAR, f"no complete response from {self.address}: {kind}"
            )
