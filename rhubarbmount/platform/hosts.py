"""Client for hosts, which the platform calls machines: their list and commands."""

import enum
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import quote

import attrs

from rhubarbmount.batch.model import Host, HostState
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.json_client import (
    JsonClient,
    JsonResponse,
    decoding_response,
    encode_header,
)
from rhubarbmount.platform.values import is_number

__all__ = ["HostClient", "HostList", "HostResult"]

CALL_TIMEOUT_S = 1.0
STATE_BY_NAME = {
    "up": HostState.UP,
    "moving": HostState.MOVING,
    "upkeep": HostState.MAINTENANCE,
    "down": HostState.DOWN,
}


# Asked right before a command is sent.
MaySend = Callable[[], bool]


class HostResult(enum.Enum):
    """Outcome of a command to move or maintain a host."""

    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    NOT_IN_WAVE = "not-in-wave"
    REFUSED = "refused"


RESULT_BY_REASON = {
    "busy": HostResult.BUSY,
    "fence": HostResult.FENCED,
    "wave": HostResult.NOT_IN_WAVE,
}


@attrs.frozen
class HostList:
    """All hosts that the platform lists; ``left_out`` entries can't be decoded."""

    hosts: tuple[Host, ...]
    left_out: int = 0


@attrs.define(eq=False)
class HostClient:
    """Client for hosts; calls raise PlatformUnavailable or OutcomeUnknown."""

    client: JsonClient
    address: str
    holder: str

    async def list(self) -> HostList:
        """Return all hosts, and how many entries can't be decoded."""
        entries: list[Host | None] = []
        page_token = ""
        while True:
            target = "/machines" + (
                f"?page_token={quote(page_token)}" if page_token else ""
            )
            response = await self.client.call(
                self.address,
                "GET",
                target,
                timeout_s=CALL_TIMEOUT_S,
                pause_s=CALL_TIMEOUT_S,
            )
            if response.status != 200:
                raise PlatformUnavailable(
                    f"host list request got status {response.status}"
                )
            with decoding_response():
                rows = response.body.get("machines") or ()
                entries.extend(map(_decode_host, rows))
            page_token = str(response.body.get("next_token") or "")
            if not page_token:
                hosts = tuple(filter(None, entries))
                return HostList(hosts, len(entries) - len(hosts))

    async def move(
        self, host_id: str, pool: str, fencing_token: int, may_send: MaySend
    ) -> HostResult:
        """Move a host to a pool; everything that runs on it ends immediately."""
        body = {"machine": host_id, "pool": pool}
        return await self._command("/machine-move", body, fencing_token, may_send)

    async def maintain(
        self, host_id: str, wave: int, fencing_token: int, may_send: MaySend
    ) -> HostResult:
        """Maintain a host for a wave; everything that runs on it ends immediately."""
        body = {"machine": host_id, "wave": wave}
        return await self._command("/machine-upkeep", body, fencing_token, may_send)

    async def _command(
        self,
        path: str,
        body: Mapping[str, Any],
        fencing_token: int,
        may_send: MaySend,
    ) -> HostResult:
        headers = [
            (b"x-lease-holder", encode_header(self.holder)),
            (b"x-fencing-token", b"%d" % fencing_token),
        ]
        response = await self.client.call(
            self.address, "POST", path, body, CALL_TIMEOUT_S, headers, may_send
        )
        return _decode_result(response)


def _decode_result(response: JsonResponse) -> HostResult:
    if response.status == 200:
        return HostResult.DONE
    if response.status == 409:
        reason = str(response.body.get("reason"))
        return RESULT_BY_REASON.get(reason, HostResult.REFUSED)
    if response.status in (400, 404):
        return HostResult.REFUSED
    if response.status in (429, 503):
        raise PlatformUnavailable(f"host command got status {response.status}")
    raise OutcomeUnknown(f"host command got status {response.status}")


def _decode_host(row: Any) -> Host | None:
    if not isinstance(row, dict) or not isinstance(row.get("machine"), str):
        return None
    state = STATE_BY_NAME.get(str(row.get("state")), HostState.DOWN)
    capacity = row.get("capacity")
    cpu = capacity.get("cpu") if isinstance(capacity, dict) else 0
    return Host(
        id=row["machine"],
        pool=str(row.get("pool") or ""),
        state=state,
        server_name=str(row.get("id") or ""),
        cpu_millicores=int(cpu) if is_number(cpu) else 0,
        data_centre=str(row.get("zone") or ""),
    )
