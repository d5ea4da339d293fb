"""The operators' HTTP API for hosts, moves and maintenance waves."""

import time
import uuid
from collections.abc import Iterable
from typing import Any

import attrs

from rhubarbmount.configuration import Configuration
from rhubarbmount.edits import Authenticate, Operator
from rhubarbmount.entries import Pool
from rhubarbmount.errors import (
    AccessDenied,
    NotFound,
    RhubarbmountError,
    UsageError,
)
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.hosts import Host, HostState, dump_host
from rhubarbmount.http import HttpResponse
from rhubarbmount.moves import HostMover
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.problem import json_response
from rhubarbmount.router import ApiRequest, Router
from rhubarbmount.store.interface import Platform
from rhubarbmount.wave_plan import (
    SparesOffer,
    WavePlan,
    hosts_by_pool,
    plan_wave,
    plan_with_spares,
)
from rhubarbmount.waves import Control, Wave, WaveOperator, dump_wave, read_waves

__all__ = ["FleetApi"]


@attrs.define(eq=False)
class FleetApi:
    """Handlers of operators' requests about the fleet."""

    authenticate: Authenticate
    configuration: Configuration
    fleet: FleetView
    platform: Platform
    settings: WaveSettings
    spares_pool: str = ""
    recorder: DecisionRecorder = attrs.field(factory=DecisionRecorder)
    counters: FleetCounters = attrs.field(factory=FleetCounters)
    mover: HostMover = attrs.field(init=False)
    waves: WaveOperator = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.mover = HostMover(self.platform, time.time, _new_id)
        self.waves = WaveOperator(self.platform, time.time, _new_id)

    def add_routes(self, router: Router) -> None:
        """Register the handlers."""
        router.add("GET", "/hosts", self._list_hosts)
        router.add("POST", "/hosts/*/move", self._move)
        router.add("DELETE", "/hosts/*/move", self._cancel_move)
        router.add("GET", "/waves", self._list_waves)
        router.add("POST", "/waves", self._start_wave)
        router.add("POST", "/waves/plan", self._plan_wave)
        router.add("POST", "/waves/*/control", self._control_wave)

    async def _list_hosts(self, request: ApiRequest) -> HttpResponse:
        self.authenticate(request)
        pool = request.query.get("pool")
        hosts = [
            dump_host(host)
            for _, host in sorted(self.fleet.host_by_id.items())
            if pool in (None, host.pool)
        ]
        return json_response({"version": self.fleet.version, "hosts": hosts})

    async def _move(self, request: ApiRequest) -> HttpResponse:
        operator = self.authenticate(request)
        target = _string_field(request, "pool")
        host_id = request.parts[1]
        inputs: dict[str, Any] = {"target_pool": target, "operator": operator.name}
        try:
            intent_id = await self.mover.begin(host_id, target, operator.owners)
        except RhubarbmountError as error:
            self._record_refused_move(host_id, error, inputs)
            raise
        self.recorder.record("host", host_id, "move-begun", **inputs)
        return json_response({"result": "begun", "intent": intent_id}, 202)

    async def _cancel_move(self, request: ApiRequest) -> HttpResponse:
        operator = self.authenticate(request)
        host = self._host(request.parts[1])
        self._check_owner(operator, host.pool)
        intent_id = await self.mover.cancel(host.host_id)
        self.recorder.record(
            "host", host.host_id, "move-cancelled", operator=operator.name
        )
        return json_response({"result": "cancelled", "intent": intent_id}, 202)

    async def _list_waves(self, request: ApiRequest) -> HttpResponse:
        self.authenticate(request)
        rows = await read_waves(self.platform)
        return json_response({"waves": [dump_wave(row.wave) for row in rows]})

    async def _start_wave(self, request: ApiRequest) -> HttpResponse:
        operator = self.authenticate(request)
        pools = self._pools(request, operator)
        requested = _requested_spares(request, pools)
        spares, spares_at_once = requested, 0
        if requested is None:
            plan = self._plan(pools, operator)
            spares, spares_at_once = plan.spares_by_pool, plan.buffer_hosts
        if spares:
            self._check_owner(operator, self.spares_pool)
        if requested:
            spares = self._useful_spares(pools, requested)
        wave_id = await self.waves.start(
            pools, self.spares_pool, spares, operator.owners, spares_at_once
        )
        self._record_wave(pools, "wave-started", wave_id, operator)
        response_body = {"result": "started", "wave": wave_id, "spares_by_pool": spares}
        return json_response(response_body, 202)

    async def _plan_wave(self, request: ApiRequest) -> HttpResponse:
        operator = self.authenticate(request)
        plan = self._plan(self._pools(request, operator), operator)
        response_body = {
            "roll_out_s": plan.roll_out_s,
            "buffer_hosts": plan.buffer_hosts,
            "moves": plan.moves,
            "spares_by_pool": plan.spares_by_pool,
            "findings": [str(finding) for finding in plan.findings],
        }
        return json_response(response_body)

    def _plan(self, names: list[str], operator: Operator) -> WavePlan:
        """Plan a wave, with spares of the buffer pool if the operator owns it."""
        pool_by_name = self._pool_by_name()
        pools = [pool_by_name[name] for name in names if name != self.spares_pool]
        hosts = self.fleet.host_by_id.values()
        due = [host for host in hosts if host.pool in names]
        buffer = pool_by_name.get(self.spares_pool)
        spares = None
        if buffer is not None and buffer.owner in operator.owners:
            members = [host for host in hosts if host.pool == buffer.name]
            serving = sum(host.state is HostState.IN_SERVICE for host in members)
            spares = SparesOffer(buffer, serving, len(members))
        start_s = time.perf_counter()
        plan = plan_wave(pools, due, time.time(), self.settings, spares)
        self.counters.add_plan(time.perf_counter() - start_s)
        return plan

    def _useful_spares(
        self, names: list[str], spares: dict[str, int]
    ) -> dict[str, int]:
        """Return the requested spares of those pools whose wave they shorten."""
        pool_by_name = self._pool_by_name()
        pools = [pool_by_name[name] for name in names if name != self.spares_pool]
        due = [host for host in self.fleet.host_by_id.values() if host.pool in names]
        hosts = hosts_by_pool(due)
        plan = plan_with_spares(
            [pool for pool in pools if pool.name in hosts],
            hosts,
            time.time(),
            self.settings,
            spares=sum(spares.values()),
            spares_pool=pool_by_name.get(self.spares_pool),
            limit_by_pool=spares,
        )
        return {name: spares[name] for name in plan.spares_by_pool}

    async def _control_wave(self, request: ApiRequest) -> HttpResponse:
        operator = self.authenticate(request)
        try:
            control = Control(_string_field(request, "control"))
        except ValueError:
            known = ", ".join(Control)
            raise UsageError(f"control must be one of {known}") from None
        wave: Wave = (await self.waves.read(request.parts[1])).wave
        covered = [pool for pool in wave.pools if wave.covers(pool)]
        if not covered:
            raise AccessDenied("the wave no longer covers any pool")
        for pool in covered:
            self._check_owner(operator, pool)
        wave = await self.waves.control(wave.wave_id, control)
        self._record_wave(wave.pools, f"wave-{control.value}", wave.wave_id, operator)
        return json_response(dump_wave(wave))

    def _record_refused_move(
        self, host_id: str, error: RhubarbmountError, inputs: dict[str, Any]
    ) -> None:
        """Record why a move was refused, for the host and, if known, its pool."""
        host = self.fleet.host_by_id.get(host_id)
        record, reason = self.recorder.record, f"{error.code}: {error.message}"
        record("host", host_id, "move-refused", reason, **inputs)
        if host is not None:
            record("pool", host.pool, "move-refused", reason, host=host_id, **inputs)

    def _record_wave(
        self, pools: Iterable[str], code: str, wave_id: str, operator: Operator
    ) -> None:
        paused = code == f"wave-{Control.PAUSED.value}"
        reason = "the operator paused the wave" if paused else ""
        for pool in pools:
            self.recorder.record(
                "pool", pool, code, reason, wave=wave_id, operator=operator.name
            )

    def _pools(self, request: ApiRequest, operator: Operator) -> list[str]:
        """Return the pools that the request names, or all that the operator owns."""
        body = request.json()
        names = body.get("pools") if isinstance(body, dict) else None
        if names is None:
            pools = self._pool_by_name().values()
            names = [pool.name for pool in pools if pool.owner in operator.owners]
        if not names:
            raise AccessDenied(f"no pool for operator {operator.name} to maintain")
        for name in names:
            self._check_owner(operator, name)
        return list(names)

    def _host(self, host_id: str) -> Host:
        host = self.fleet.host_by_id.get(host_id)
        if host is None:
            raise NotFound(f"no host {host_id!r}")
        return host

    def _pool_by_name(self) -> dict[str, Pool]:
        snapshot = self.configuration.snapshot
        if snapshot is None:
            raise NotFound("no configuration is in force yet", code="not-ready")
        return dict(snapshot.pool_by_name)

    def _check_owner(self, operator: Operator, name: str) -> None:
        pool = self._pool_by_name().get(name)
        if pool is None:
            raise NotFound(f"no pool {name!r}")
        if pool.owner not in operator.owners:
            raise AccessDenied(f"pool {name} belongs to {pool.owner}")


def _string_field(request: ApiRequest, name: str) -> str:
    body = request.json()
    if not isinstance(body, dict) or not isinstance(body.get(name), str):
        raise UsageError(f"the body must be an object with a string under {name!r}")
    return body[name]


def _requested_spares(request: ApiRequest, pools: list[str]) -> dict[str, int] | None:
    """Return the spares that the request names, or None to have them planned."""
    body = request.json()
    spares = body.get("spares_by_pool") if isinstance(body, dict) else None
    if spares is None:
        return None
    if not isinstance(spares, dict) or not all(
        name in pools and isinstance(count, int) and count >= 0
        for name, count in spares.items()
    ):
        raise UsageError("spares_by_pool must map pools of the wave to host counts")
    return spares


def _new_id() -> str:
    return uuid.uuid4().hex
