"""Client for the advice service, which says which backend servers may run a step."""

import attrs

from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.platform.json_client import JsonClient, decoding_response

__all__ = ["MAX_SERVERS_PER_CALL", "AdviceClient", "Ticket"]

MAX_SERVERS_PER_CALL = 100
CALL_TIMEOUT_S = 3.0


@attrs.frozen
class Ticket:
    """Time-limited permit for one lifetime of a backend server to run a step."""

    server_id: str
    text: str
    valid_s: float


@attrs.define(eq=False)
class AdviceClient:
    """Client for the advice service."""

    client: JsonClient
    address: str

    async def ask(
        self, job_id: str, occurrence: int, step: int, server_ids: list[str]
    ) -> list[Ticket]:
        """Request tickets for backend servers and return those that were granted.

        Raises PlatformUnavailable or OutcomeUnknown.
        """
        server_id_by_name = {name_of(server_id): server_id for server_id in server_ids}
        body = {
            "phase": f"{job_id}.{occurrence}.{step}",
            "workers": list(server_id_by_name),
        }
        response = await self.client.call(
            self.address, "POST", "/advise", body, CALL_TIMEOUT_S
        )
        if response.status != 200:
            raise PlatformUnavailable(f"advice service sent status {response.status}")
        with decoding_response():
            valid_s = float(response.body.get("valid_ms") or 0) / 1000
            return [
                Ticket(server_id_by_name[row[0]], str(row[1]), valid_s)
                for row in response.body.get("granted") or ()
                if isinstance(row, list)
                and len(row) >= 2
                and row[0] in server_id_by_name
            ]
