"""Test set-up: two instances of the scheduling duty, one platform, a few workers."""

import itertools

import attrs

from rhubarbmount.entries import JobTemplate, Team
from rhubarbmount.errors import LeaseLost, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.job_changes import JobRequest, request_write
from rhubarbmount.job_queue import TeamUsage
from rhubarbmount.jobs import Job, dump_job
from rhubarbmount.scheduling import SchedulingDuty
from rhubarbmount.store.interface import Precondition, Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from tests.workers import Link, Workers

LEASE_S = 8.0
TEAMS = [
    Team(name=name, owner=name, processors_quota=10, memory_quota_gb=64)
    for name in ("a", "b")
]
NIGHTLY = JobTemplate(name="nightly", owner="a", team="a", pool="p", processors=2)
FAILURES = (LeaseLost, OutcomeUnknown, PlatformUnavailable)


@attrs.define
class View:
    """An instance's view of the catalogue and of the hosts."""

    host_by_id: dict

    def catalogue_version(self):
        return 7

    def teams(self):
        return TEAMS

    def job_templates(self):
        return {"nightly": NIGHTLY}

    def hosts(self):
        return self.host_by_id


@attrs.define
class Lease:
    """A lease that an instance believes to hold for some time after it acquired it."""

    link: Link
    workers: Workers
    token: int = 0
    until_s: float = 0.0
    ids = itertools.count()

    async def confirm(self):
        if self.workers.now_s >= self.until_s:
            raise LeaseLost("the lease has expired")

    async def commit(self, builder):
        await self.confirm()
        token_condition = Precondition(
            "leases", "scheduling", equals={"token": self.token}
        )
        transaction = Transaction(
            f"o{next(self.ids)}",
            (token_condition, *builder.preconditions),
            builder.writes,
        )
        return (await self.link.transact(transaction)).committed


@attrs.define
class Instance:
    """The duty, link to the platform and lease of one entry host."""

    duty: SchedulingDuty
    link: Link
    lease: Lease
    busy: bool = False

    async def round(self):
        try:
            await self.duty.do_round(self.lease)
        except FAILURES:
            pass
        finally:
            self.busy = False


class World:
    """Two instances that share one platform and a few workers."""

    def __init__(self, hosts=3, processors=4, platform=None):
        self.platform = platform or MemoryPlatform()
        self.hosts = {
            f"h{n}": Host(
                host_id=f"h{n}",
                pool="p",
                data_centre="d",
                rack=f"r{n % 2}",
                address="a",
                shape=Shape(processors, 16),
            )
            for n in range(hosts)
        }
        self.workers = Workers(self.platform, self.hosts)
        self.instances = [self._instance() for _ in range(2)]
        usage = TeamUsage()
        for team in TEAMS:
            usage.set_team(team)
        self.quotas = usage.quota_by_team
        self.token = 0
        self.jobs = 0

    def _instance(self):
        link = Link(self.platform)
        duty = SchedulingDuty(
            link, View(self.hosts), self.workers.clock, self.workers.clock
        )
        return Instance(duty, link, Lease(link, self.workers))

    async def write(self, *writes):
        await self.platform.transact(Transaction("w", (), writes))

    async def take_lease(self, number):
        """Renew an instance's lease, or give it the lease once all others have expired.

        A new holder loads its state again, unless a round of it is still suspended.
        """
        taker = self.instances[number].lease
        if taker.until_s > self.workers.now_s and taker.token == self.token:
            taker.until_s = self.workers.now_s + LEASE_S
            return
        remaining_s = max(i.lease.until_s for i in self.instances) - self.workers.now_s
        self.workers.advance(max(remaining_s, 0.0))
        self.token += 1
        await self.write(Write("leases", "scheduling", {"token": self.token}))
        taker.token, taker.until_s = self.token, self.workers.now_s + LEASE_S
        if not self.instances[number].busy:
            self.instances[number].duty.forget()

    async def submit(self, **fields):
        self.jobs += 1
        fields = {
            "team": "a",
            "shape": Shape(2, 4),
            "submitted_s": self.workers.now_s,
        } | fields
        job = Job(job_id=f"j{self.jobs}", pool="p", **fields)
        await self.write(
            Write("jobs", job.job_id, dump_job(job)),
            request_write(JobRequest(job.job_id, "submit", job)),
        )
        return job.job_id

    async def cancel(self, job_id):
        await self.write(request_write(JobRequest(job_id, "cancel")))

    async def release(self, job_id):
        await self.write(request_write(JobRequest(job_id, "release")))

    async def round(self, number=0):
        await self.take_lease(number)
        await self.instances[number].round()

    async def settle(self, rounds=4, seconds=1.0, number=0):
        for _ in range(rounds):
            self.workers.advance(seconds)
            await self.round(number)

    def state(self, job_id):
        row = self.platform._table("jobs").get(job_id)
        row = row or self.platform._table("history").get(f"job/{job_id}")
        return row.value["state"]

    def check(self):
        self.workers.check_rooms()
        self.workers.check_quota(self.quotas)
        assert self.workers.faults == []
