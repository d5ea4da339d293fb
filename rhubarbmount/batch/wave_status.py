"""Writes the status of waves to rows that the operator reads."""

import logging

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.row_formats import encode_wave_status, wave_status_row
from rhubarbmount.platform.rows import RowConflict, RowStore

__all__ = ["WaveStatusWriter"]

logger = logging.getLogger(__name__)

RETRY_S = 0.2


@attrs.define(eq=False)
class WaveStatusWriter:
    """Writes the latest status of each wave, retrying until the store has it.

    A status that this process has written already is not written again.
    """

    store: RowStore
    _pending: dict[int, bool] = attrs.field(factory=dict)
    _stored: dict[int, bool] = attrs.field(factory=dict)
    _version_by_wave: dict[int, int] = attrs.field(factory=dict)
    _wake: trio.Event = attrs.field(factory=trio.Event)

    def put(self, wave: int, is_complete: bool) -> None:
        """Request that the status of a wave be written."""
        if wave not in self._pending and self._stored.get(wave) is is_complete:
            return
        self._pending[wave] = is_complete
        self._wake.set()

    async def run(self) -> None:
        """Write requested statuses until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._pending:
                wave, is_complete = next(iter(self._pending.items()))
                await self._write(wave, is_complete)

    async def _write(self, wave: int, is_complete: bool) -> None:
        name = wave_status_row(wave)
        value = encode_wave_status(is_complete)
        while self._pending.get(wave) is is_complete:
            version = self._version_by_wave.get(wave, 0)
            try:
                written = await self.store.commit({name: version}, {name: value})
            except RowConflict as error:
                self._resolve_conflict(error, wave, is_complete)
            except (PlatformUnavailable, OutcomeUnknown) as error:
                log.event(
                    logger,
                    "wave-status-not-written",
                    logging.WARNING,
                    wave=wave,
                    code=error.code,
                )
                await trio.sleep(RETRY_S)
            else:
                self._version_by_wave[wave] = written
                self._record_stored(wave, is_complete)

    def _resolve_conflict(
        self, error: RowConflict, wave: int, is_complete: bool
    ) -> None:
        """Adopt the version of the current row; leave a row that says complete.

        A wave that is complete stays so: a holder that says otherwise was replaced.
        """
        name = wave_status_row(wave)
        current = next((row for row in error.rows if row.name == name), None)
        self._version_by_wave[wave] = current.version if current else 0
        kept_values = (encode_wave_status(is_complete), encode_wave_status(True))
        if current is not None and current.value in kept_values:
            self._record_stored(wave, is_complete)

    def _record_stored(self, wave: int, is_complete: bool) -> None:
        """Record a written status; one requested meanwhile is still to be written."""
        self._stored[wave] = is_complete
        if self._pending[wave] is is_complete:
            del self._pending[wave]
