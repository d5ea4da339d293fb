"""Client of the HTTP API for operators, and formatting of tables."""

import json
import os
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import attrs
import trio

from rhubarbmount.errors import Finding, FindingsError, RhubarbmountError, UsageError
from rhubarbmount.http import HttpRequest, HttpResponse
from rhubarbmount.http_client import connect

__all__ = ["OperatorClient", "RemoteError", "format_table"]

ADDRESS_VARIABLE = "RHUBARBMOUNT_ADDRESS"
TOKEN_VARIABLE = "RHUBARBMOUNT_TOKEN"
TOKEN_FILE_VARIABLE = "RHUBARBMOUNT_TOKEN_FILE"
DEFAULT_ADDRESS = "127.0.0.1:8081"
CALL_TIMEOUT_S = 30.0
MAX_RESPONSE_BYTES = 64 * 1048576
TITLE_BY_TIME_COLUMN = {"time_s": "time", "when_s": "when"}


class RemoteError(RhubarbmountError):
    """The entry host returned an error, or did not respond in time."""

    code = "remote"


@attrs.frozen
class OperatorClient:
    """Sends requests to one entry host as one operator."""

    address: str
    token: str

    @classmethod
    def from_environment(cls) -> "OperatorClient":
        """Build a client from the address and token in the environment.

        Raises UsageError if no token is set.
        """
        token = os.environ.get(TOKEN_VARIABLE, "")
        path = os.environ.get(TOKEN_FILE_VARIABLE)
        if not token and path:
            token = Path(path).read_text(encoding="utf-8").strip()
        if not token:
            raise UsageError(f"set {TOKEN_VARIABLE} or {TOKEN_FILE_VARIABLE}")
        return cls(os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS), token)

    def call(self, method: str, path: str, value: Any = None) -> Any:
        """Send a request and return the decoded response body.

        Raises FindingsError, RemoteError, NotSent or ResponseLost.
        """
        body = b"" if value is None else json.dumps(value).encode("utf-8")
        return _decode_response(trio.run(self._exchange, method, path, body))

    async def _exchange(self, method: str, path: str, body: bytes) -> HttpResponse:
        host, port = self.address.rsplit(":", 1)
        headers = [
            (b"host", self.address.encode("ascii")),
            (b"authorization", f"Bearer {self.token}".encode("latin-1")),
        ]
        with trio.move_on_after(CALL_TIMEOUT_S):
            connection = await connect(
                host, int(port), CALL_TIMEOUT_S, MAX_RESPONSE_BYTES
            )
            try:
                request = HttpRequest(method, path, headers, body)
                return await connection.exchange(request)
            finally:
                await connection.aclose()
        raise RemoteError(f"{self.address} did not respond in time", code="timeout")


def _decode_response(response: HttpResponse) -> Any:
    value = json.loads(response.body)
    if response.status < 400:
        return value
    if "findings" in value:
        raise FindingsError([Finding(**finding) for finding in value["findings"]])
    raise RemoteError(value.get("detail", ""), code=value.get("code", "remote"))


def format_table(rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> str:
    """Format rows as a table with a header; times are shown in UTC.

    >>> print(format_table([{"time_s": 0, "inputs": {"x": 2}}], ["time_s", "inputs"]))
    time                 inputs
    1970-01-01T00:00:00  x=2
    """
    titles = [TITLE_BY_TIME_COLUMN.get(column, column) for column in columns]
    cells = [[_cell(column, row.get(column, "")) for column in columns] for row in rows]
    widths = [max(map(len, texts)) for texts in zip(titles, *cells, strict=True)]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True))
        for line in [titles, *cells]
    ]
    return "\n".join(line.rstrip() for line in lines)


def _cell(column: str, value: Any) -> str:
    if column in TITLE_BY_TIME_COLUMN and isinstance(value, int | float):
        return datetime.fromtimestamp(value, UTC).strftime("%Y-%m-%dT%H:%M:%S")
    if isinstance(value, Mapping):
        return " ".join(f"{key}={item}" for key, item in value.items())
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)
