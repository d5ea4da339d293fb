"""The platform over HTTP and JSON."""

import json
from typing import Any
from urllib.parse import quote

import attrs
import cattrs
import trio

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.http import AnswerLost, HttpRequest, HttpResponse, NotSent
from rhubarbmount.http_client import ClientConnection, ConnectionPool
from rhubarbmount.platform.interface import (
    HostCommand,
    LiveHost,
    Row,
    TaskCommand,
    Transaction,
    TransactionResult,
    platforms,
)

__all__ = ["HttpPlatform"]

OBJECT_LIMIT_BYTES = 64 * 1048576

_converter = cattrs.Converter()


@platforms.register("http")
@attrs.define(eq=False)
class HttpPlatform:
    """Call the platform; a connection carries one call at a time."""

    address: str
    timeout_s: float = 2.0
    _connections: ConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._connections = ConnectionPool(
            self.address, self.timeout_s, OBJECT_LIMIT_BYTES
        )

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None."""
        path = f"/tables/{quote(table, safe='')}/rows/{quote(key, safe='')}"
        answer = await self._call("GET", path)
        if answer.status == 404:
            return None
        return _decode("GET", answer, Row)

    async def scan(self, table: str, prefix: str = "") -> list[Row]:
        """Return the rows whose keys start with the prefix, in key order."""
        path = f"/tables/{quote(table, safe='')}?prefix={quote(prefix, safe='')}"
        answer = await self._call("GET", path)
        return _decode("GET", answer, list[Row])

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit all writes together, or none of them."""
        body = _converter.unstructure(transaction)
        answer = await self._call("POST", "/transactions", _encode(body))
        return _decode("POST", answer, TransactionResult)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._call("PUT", f"/objects/{quote(name, safe='')}", body)

    async def get_object(self, name: str) -> bytes | None:
        """Return the object, or None."""
        answer = await self._call("GET", f"/objects/{quote(name, safe='')}")
        return None if answer.status == 404 else answer.body

    async def live_hosts(self) -> list[LiveHost]:
        """Return the lagging list of live and leaving hosts."""
        answer = await self._call("GET", "/hosts")
        return _decode("GET", answer, list[LiveHost])

    async def command_host(self, command: HostCommand) -> None:
        """Ask the platform to act on a host."""
        body = _encode(_converter.unstructure(command))
        await self._call("POST", "/host-commands", body)

    async def command_task(self, command: TaskCommand) -> None:
        """Ask the platform to act on a task."""
        body = _encode(_converter.unstructure(command))
        await self._call("POST", "/task-commands", body)

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._connections.aclose()

    async def _call(self, method: str, path: str, body: bytes = b"") -> HttpResponse:
        try:
            with trio.fail_after(self.timeout_s):
                connection = await self._connections.take()
                answer = await self._exchange(connection, method, path, body)
        except trio.TooSlowError:
            raise _failure(method, "no answer in time") from None
        except NotSent as error:
            raise PlatformUnavailable(error.message) from None
        except AnswerLost as error:
            raise _failure(method, error.message) from None
        return _checked(method, answer)

    async def _exchange(
        self, connection: ClientConnection, method: str, path: str, body: bytes
    ) -> HttpResponse:
        headers = [(b"host", self.address.encode("ascii"))]
        try:
            return await connection.exchange(HttpRequest(method, path, headers, body))
        finally:
            await self._connections.put_back(connection)


def _checked(method: str, answer: HttpResponse) -> HttpResponse:
    """Return a success, or the answer that there is no such thing to read.

    A refusal (4xx) and 503 mean no effect; another 5xx may hide one.
    """
    message = f"the platform answered {answer.status}"
    if answer.status >= 500 and answer.status != 503:
        raise _failure(method, message)
    if answer.status >= 400 and (method, answer.status) != ("GET", 404):
        raise PlatformUnavailable(message)
    return answer


def _failure(method: str, message: str) -> PlatformUnavailable | OutcomeUnknown:
    if method == "GET":
        return PlatformUnavailable(message)
    return OutcomeUnknown(message)


def _encode(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode("utf-8")


def _decode(method: str, answer: HttpResponse, kind: Any) -> Any:
    try:
        return _converter.structure(json.loads(answer.body), kind)
    except (ValueError, TypeError, KeyError, cattrs.BaseValidationError) as error:
        raise _failure(method, f"the platform's answer is malformed: {error}") from None
