"""Tells a host's own lateness from the silence of backend servers; performs no I/O.

A host without processor time or bandwidth reads every response late. Answers the
pattern of a weak host that holds a shard of many servers: what it takes for silence is
its own, and repeating calls makes it later.
"""

import logging
import math
import statistics

import attrs

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.metrics import BatchMetrics

__all__ = ["Lateness"]

logger = logging.getLogger(__name__)

SAMPLE_TTL_S = 4.0
UPDATE_PERIOD_S = 0.1
# Fewer servers than this may all be slow or silent by themselves.
MIN_SERVERS = 4
LATE_RESPONSE_S = 0.1
ON_TIME_RESPONSE_S = 0.05
# Share of the last lag that still counts an update later.
LAG_DECAY = 0.8
TIMEOUT_FACTOR = 4.0
MAX_TIMEOUT_S = 2.5


@attrs.frozen
class _Sample:
    """Response time of the last command to a server, infinite without a response."""

    at_s: float
    took_s: float


@attrs.define(eq=False)
class Lateness:
    """Measures the lag of the event loop and the usual response time of servers.

    The last sample of each server counts. Servers that are silent while others answer
    are not taken for lateness, however many they are; a host to which none answers is.
    """

    metrics: BatchMetrics
    is_late: bool = False
    lag_s: float = 0.0
    usual_response_s: float = 0.0
    _sample_by_server_id: dict[str, _Sample] = attrs.field(factory=dict)
    _updated_at_s: float = -math.inf

    def record_response(self, server_id: str, took_s: float) -> None:
        """Record the response to a command that a server answers at once."""
        self._record(server_id, took_s)

    def record_silence(self, server_id: str) -> None:
        """Record a command that was not answered in time."""
        self._record(server_id, math.inf)

    def record_lag(self, lag_s: float) -> None:
        """Record how much later than due a timer fired."""
        self.lag_s = max(lag_s, self.lag_s * LAG_DECAY)
        self.metrics.loop_lag_s.observe(lag_s)
        self._update()

    def stretch_timeout_s(self, timeout_s: float) -> float:
        """Return a timeout that allows for this host's own lateness."""
        if not self.is_late:
            return timeout_s
        own_s = TIMEOUT_FACTOR * self.usual_response_s + self.lag_s
        return max(timeout_s, min(MAX_TIMEOUT_S, own_s))

    def _record(self, server_id: str, took_s: float) -> None:
        now_s = monotonic_s()
        self._sample_by_server_id[server_id] = _Sample(now_s, took_s)
        if now_s >= self._updated_at_s + UPDATE_PERIOD_S:
            self._update()

    def _update(self) -> None:
        self._updated_at_s = now_s = monotonic_s()
        self._sample_by_server_id = {
            server_id: sample
            for server_id, sample in self._sample_by_server_id.items()
            if now_s < sample.at_s + SAMPLE_TTL_S
        }
        self.usual_response_s = self._median_response_s()
        limit_s = ON_TIME_RESPONSE_S if self.is_late else LATE_RESPONSE_S
        self._set_late(max(self.usual_response_s, self.lag_s) > limit_s)

    def _median_response_s(self) -> float:
        times_s = [sample.took_s for sample in self._sample_by_server_id.values()]
        if len(times_s) < MIN_SERVERS:
            return 0.0
        return statistics.median([t for t in times_s if t < math.inf] or [math.inf])

    def _set_late(self, is_late: bool) -> None:
        if is_late is self.is_late:
            return
        self.is_late = is_late
        self.metrics.is_late.set(is_late)
        servers = len(self._sample_by_server_id)
        if is_late:
            log.event(
                logger,
                "host-late",
                logging.WARNING,
                response_s=self.usual_response_s,
                lag_s=self.lag_s,
                servers=servers,
            )
        else:
            log.event(
                logger,
                "host-on-time",
                response_s=self.usual_response_s,
                lag_s=self.lag_s,
                servers=servers,
            )
