"""Decisions derived from the latest state and cause in the platform's rows."""

from collections.abc import Awaitable, Callable
from typing import Any

from rhubarbmount.budgets import read_pool_rows
from rhubarbmount.catalogue_rows import history_key
from rhubarbmount.claims import Claim, ClaimState, load_claim, row_key
from rhubarbmount.decisions import Decision
from rhubarbmount.host_work import intent_key, load_intent
from rhubarbmount.hosts import load_host
from rhubarbmount.jobs import load_job
from rhubarbmount.registry import Registry
from rhubarbmount.store.interface import Platform, Row
from rhubarbmount.tables import (
    CLAIMS_TABLE,
    ENTRIES_TABLE,
    HISTORY_TABLE,
    HOSTS_TABLE,
    INTENTS_TABLE,
    JOBS_TABLE,
)
from rhubarbmount.waves import Control, Wave, read_waves

__all__ = ["PLATFORM_SOURCE", "read_job_row", "row_causes"]

PLATFORM_SOURCE = "platform"

row_causes: Registry[Callable[[Platform, str], Awaitable[list[Decision]]]] = Registry(
    "kind of subject"
)


def _from_row(kind: str, subject_id: str, code: str, **fields: Any) -> Decision:
    return Decision(
        kind=kind, subject_id=subject_id, code=code, source=PLATFORM_SOURCE, **fields
    )


@row_causes.register("host")
async def read_host(platform: Platform, host_id: str) -> list[Decision]:
    """Return a host's state and cause, and any pending work on it."""
    row = await platform.read(HOSTS_TABLE, host_id)
    if row is None:
        return []
    host = load_host(dict(row.value))
    inputs = {"pool": host.pool, "rack": host.rack}
    intent_row = await platform.read(INTENTS_TABLE, intent_key(host_id))
    if intent_row is not None:
        intent = load_intent(intent_row.value)
        inputs |= {"action": intent.action, "target_pool": intent.target_pool}
        inputs |= {"wave": intent.group}
    found = _from_row(
        "host",
        host_id,
        host.state.value,
        reason=host.cause,
        inputs=inputs,
        time_s=host.since_s,
    )
    return [found]


@row_causes.register("pool")
async def read_pool(platform: Platform, name: str) -> list[Decision]:
    """Return a pool's disruption permits in use, and its open maintenance waves."""
    rows = await read_pool_rows(platform, name)
    if rows.pool is None:
        return []
    hosts = sorted(rows.permits)
    exhausted = len(hosts) >= rows.pool.hosts_down_limit
    permits = _from_row(
        "pool",
        name,
        "permits",
        reason=f"permits are held by {', '.join(hosts)}" if exhausted and hosts else "",
        inputs={
            "hosts": ",".join(hosts),
            "hosts_down_limit": rows.pool.hosts_down_limit,
            "racks_down_limit": rows.pool.racks_down_limit,
        },
        catalogue_version=rows.entry_version,
    )
    waves = [row.wave for row in await read_waves(platform)]
    return [
        permits,
        *(_wave_decision(name, wave) for wave in waves if _is_open(wave, name)),
    ]


def _is_open(wave: Wave, pool: str) -> bool:
    return wave.state == "open" and wave.covers(pool)


def _wave_decision(pool: str, wave: Wave) -> Decision:
    paused = wave.control is Control.PAUSED
    return _from_row(
        "pool",
        pool,
        f"wave-{wave.control.value}",
        reason="the operator paused the wave" if paused else "",
        inputs={"wave": wave.wave_id},
        time_s=wave.started_s,
    )


@row_causes.register("job")
async def read_job(platform: Platform, job_id: str) -> list[Decision]:
    """Return a job's state and its cause."""
    row = await read_job_row(platform, job_id)
    if row is None:
        return []
    job = load_job(row.value)
    found = _from_row(
        "job",
        job_id,
        job.state.value,
        reason=job.cause,
        inputs={"pool": job.pool, "task": job.task_id, "attempt": job.attempt},
        time_s=job.since_s,
    )
    return [found]


async def read_job_row(platform: Platform, job_id: str) -> Row | None:
    """Return the row of a job, from the history if the job has ended."""
    row = await platform.read(JOBS_TABLE, job_id)
    return row or await platform.read(HISTORY_TABLE, f"job/{job_id}")


@row_causes.register("request")
async def read_claim(platform: Platform, subject_id: str) -> list[Decision]:
    """Return the claim on an idempotency key, for a subject id SERVICE/KEY."""
    service, separator, key = subject_id.partition("/")
    if not separator:
        return []
    row = await platform.read(CLAIMS_TABLE, row_key(service, key))
    if row is None:
        return []
    claim = load_claim(row)
    found = _from_row(
        "request",
        subject_id,
        f"claim-{claim.state.value}",
        reason=_claim_reason(claim),
        inputs={"holder": claim.holder, "status": claim.status},
        time_s=claim.claimed_s,
    )
    return [found]


def _claim_reason(claim: Claim) -> str:
    match claim.state:
        case ClaimState.CLAIMED:
            return f"it runs at {claim.holder}, or its answer was lost there"
        case ClaimState.UNKNOWN:
            return "its answer was lost"
    return ""


@row_causes.register("entry")
async def read_entry(platform: Platform, key: str) -> list[Decision]:
    """Return who made the last committed change of an entry, and when."""
    row = await platform.read(ENTRIES_TABLE, key)
    if row is None:
        return []
    version = row.value["version"]
    change = await platform.read(HISTORY_TABLE, history_key(key, version))
    found = _from_row(
        "entry",
        key,
        "accepted",
        inputs={"operator": change.value["operator"]} if change else {},
        catalogue_version=version,
        time_s=change.value["when_s"] if change else 0.0,
    )
    return [found]
