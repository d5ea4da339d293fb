"""Platform adapter over HTTP and JSON."""

import json
import zlib
from typing import Any
from urllib.parse import quote

import attrs
import cattrs
import trio

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.http import (
    Headers,
    HttpRequest,
    HttpResponse,
    NotSent,
    ResponseLost,
    header_value,
)
from rhubarbmount.http_client import ClientConnection, ConnectionPool
from rhubarbmount.store.interface import (
    HostCommand,
    LiveHost,
    Row,
    TaskCommand,
    Transaction,
    TransactionResult,
    platforms,
)
from rhubarbmount.store.response_cache import CachedResponse, ResponseCache

__all__ = ["HttpPlatform"]

OBJECT_LIMIT_BYTES = 64 * 1048576
GZIP_WINDOW_BITS = zlib.MAX_WBITS | 16

_converter = cattrs.Converter()


@platforms.register("http")
@attrs.define(eq=False)
class HttpPlatform:
    """Calls the platform over pooled connections, each with one call at a time.

    Reads are conditional on the entity tag of the cached response, if there is one,
    and accept gzip-compressed responses.
    """

    address: str
    timeout_s: float = 2.0
    _cache: ResponseCache = attrs.field(factory=ResponseCache)
    _connections: ConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._connections = ConnectionPool(
            self.address, self.timeout_s, OBJECT_LIMIT_BYTES
        )

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        path = f"/tables/{quote(table, safe='')}/rows/{quote(key, safe='')}"
        return await self._get(path, Row)

    async def scan(self, table: str, prefix: str = "") -> list[Row]:
        """Return the rows whose keys start with the prefix, in key order."""
        path = f"/tables/{quote(table, safe='')}?prefix={quote(prefix, safe='')}"
        return list(await self._get(path, list[Row]))

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit all writes atomically, or none of them."""
        body = _converter.unstructure(transaction)
        response = await self._call("POST", "/transactions", _encode(body))
        return _decode("POST", response, TransactionResult)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._call("PUT", f"/objects/{quote(name, safe='')}", body)

    async def get_object(self, name: str) -> bytes | None:
        """Return the object, or None if it does not exist."""
        response = await self._call("GET", f"/objects/{quote(name, safe='')}")
        return None if response.status == 404 else response.body

    async def live_hosts(self) -> list[LiveHost]:
        """Return the platform's lagging list of live and leaving hosts."""
        return list(await self._get("/hosts", list[LiveHost]))

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

    async def _get(self, path: str, expected_type: Any) -> Any:
        """Return the decoded or the cached response; None if there is no such row."""
        cached = self._cache.get(path)
        headers = [(b"accept-encoding", b"gzip")]
        if cached is not None:
            headers.append((b"if-none-match", cached.tag.encode("latin-1")))
        response = await self._call("GET", path, headers=headers)
        if response.status == 304 and cached is not None:
            return cached.value
        self._cache.drop(path)
        if response.status == 404 and expected_type is Row:
            return None
        response = _decompress(response)
        value = _decode("GET", response, expected_type)
        tag = header_value(response.headers, b"etag") or ""
        self._cache.put(path, CachedResponse(tag, len(response.body), value))
        return value

    async def _call(
        self, method: str, path: str, body: bytes = b"", headers: Headers = ()
    ) -> HttpResponse:
        try:
            with trio.fail_after(self.timeout_s):
                connection = await self._connections.take()
                host = (b"host", self.address.encode("ascii"))
                request = HttpRequest(method, path, [host, *headers], body)
                response = await self._exchange(connection, request)
        except trio.TooSlowError:
            raise _call_failure(
                method, "the platform did not respond in time"
            ) from None
        except NotSent as error:
            raise PlatformUnavailable(error.message) from None
        except ResponseLost as error:
            raise _call_failure(method, error.message) from None
        return _check_status(method, response)

    async def _exchange(
        self, connection: ClientConnection, request: HttpRequest
    ) -> HttpResponse:
        try:
            return await connection.exchange(request)
        finally:
            await self._connections.put_back(connection)


def _check_status(method: str, response: HttpResponse) -> HttpResponse:
    """Return the response if it is a success, or a 404 to a GET; raise otherwise.

    4xx and 503 mean that the call had no effect; with another 5xx it may have had one.
    """
    message = f"the platform responded with status {response.status}"
    if response.status >= 500 and response.status != 503:
        raise _call_failure(method, message)
    if response.status >= 400 and (method, response.status) != ("GET", 404):
        raise PlatformUnavailable(message)
    return response


def _decompress(response: HttpResponse) -> HttpResponse:
    """Return a response with its body decompressed. Raises PlatformUnavailable."""
    if header_value(response.headers, b"content-encoding") != "gzip":
        return response
    decompressor = zlib.decompressobj(GZIP_WINDOW_BITS)
    try:
        body = decompressor.decompress(response.body, OBJECT_LIMIT_BYTES)
    except zlib.error as error:
        raise PlatformUnavailable(
            f"corrupt gzip response from the platform: {error}"
        ) from None
    if not decompressor.eof:
        raise PlatformUnavailable(
            "truncated or too large gzip response from the platform"
        )
    return attrs.evolve(response, body=body)


def _call_failure(method: str, message: str) -> PlatformUnavailable | OutcomeUnknown:
    if method == "GET":
        return PlatformUnavailable(message)
    return OutcomeUnknown(message)


def _encode(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode("utf-8")


def _decode(method: str, response: HttpResponse, expected_type: Any) -> Any:
    try:
        return _converter.structure(json.loads(response.body), expected_type)
    except (ValueError, TypeError, KeyError, cattrs.BaseValidationError) as error:
        raise _call_failure(
            method, f"malformed response from the platform: {error}"
        ) from None
