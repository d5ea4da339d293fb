"""Queue of a pool's waiting jobs, and the teams' usage of their quotas."""

import bisect
from collections.abc import Iterator

import attrs

from rhubarbmount.entries import Team, WorkClass
from rhubarbmount.jobs import Job, quota_shape
from rhubarbmount.resources import NO_RESOURCES, Resources, resources_offered

__all__ = ["JobGroup", "JobLane", "JobQueue", "TeamUsage", "WaitingJob"]

CLASS_RANK = {WorkClass.URGENT: 0, WorkClass.NORMAL: 1, WorkClass.BATCH: 2}


@attrs.frozen
class WaitingJob:
    """A job and the resources it needs, which may differ from its declared shape."""

    job: Job
    need: Resources


def _submission_order(waiting: WaitingJob) -> tuple[float, str]:
    return waiting.job.submitted_s, waiting.job.job_id


GroupKey = tuple[int, str, Resources]
LaneKey = tuple[int, Resources]


@attrs.define
class JobGroup:
    """Waiting jobs of one work class, team and need, in order of submission.

    ``code`` and ``reason`` say why the group could not be placed last time, and
    ``unexplained`` are the jobs that were added since.
    """

    key: GroupKey
    ordered: list[WaitingJob] = attrs.field(factory=list)
    code: str = ""
    reason: str = ""
    unexplained: list["WaitingJob"] = attrs.field(factory=list)

    @property
    def lane_key(self) -> LaneKey:
        """Return the key of the group's lane."""
        return self.key[0], self.key[2]

    @property
    def first(self) -> WaitingJob:
        """Return the job that has waited longest."""
        return self.ordered[0]

    @property
    def jobs(self) -> list[WaitingJob]:
        """Return the jobs in order of submission."""
        return list(self.ordered)

    def add(self, waiting: WaitingJob) -> None:
        """Insert a job in order of submission."""
        bisect.insort(self.ordered, waiting, key=_submission_order)
        self.unexplained.append(waiting)

    def remove(self, job: Job) -> None:
        """Remove a job."""
        place = job.submitted_s, job.job_id
        del self.ordered[bisect.bisect_left(self.ordered, place, key=_submission_order)]

    @property
    def rank(self) -> int:
        """Return the rank of the work class; urgent is 0."""
        return self.key[0]

    @property
    def is_urgent(self) -> bool:
        """Return whether batch tasks are evicted for these jobs."""
        return self.key[0] == 0

    @property
    def team(self) -> str:
        """Return the team."""
        return self.key[1]


@attrs.define
class JobLane:
    """The groups of one work class and need: either all fit a host or none does.

    ``last_refusal`` is the code and reason for which the lane could not be placed last
    time; ``has_unexplained_jobs`` is true if it may not yet be recorded for some of
    its jobs.
    """

    key: LaneKey
    group_by_key: dict[GroupKey, JobGroup] = attrs.field(factory=dict)
    last_refusal: tuple[str, str] = ("", "")
    has_unexplained_jobs: bool = True


@attrs.define
class JobQueue:
    """The waiting jobs of one pool by group, and the groups by lane."""

    group_by_key: dict[GroupKey, JobGroup] = attrs.field(factory=dict)
    lane_by_key: dict[LaneKey, JobLane] = attrs.field(factory=dict)
    _group_by_job: dict[str, JobGroup] = attrs.field(factory=dict)

    def add(self, waiting: WaitingJob) -> JobGroup:
        """Add a job to its group and return the group."""
        job = waiting.job
        rank = CLASS_RANK.get(job.work_class, CLASS_RANK[WorkClass.NORMAL])
        key = rank, job.team, waiting.need
        group = self.group_by_key.setdefault(key, JobGroup(key))
        lane = self.lane_by_key.setdefault(group.lane_key, JobLane(group.lane_key))
        lane.group_by_key[key] = group
        lane.has_unexplained_jobs = True
        group.add(waiting)
        self._group_by_job[job.job_id] = group
        return group

    def remove(self, job: Job) -> bool:
        """Remove a job; return whether it was queued."""
        group = self._group_by_job.pop(job.job_id, None)
        if group is None:
            return False
        group.remove(job)
        if not group.ordered:
            self._remove_group(group)
        return True

    def lanes(self, urgent: bool) -> list[JobLane]:
        """Return the lanes of the urgent class, or of the others."""
        return [
            lane
            for key, lane in self.lane_by_key.items()
            if (key[0] == CLASS_RANK[WorkClass.URGENT]) == urgent
        ]

    def _remove_group(self, group: JobGroup) -> None:
        del self.group_by_key[group.key]
        lane = self.lane_by_key[group.lane_key]
        del lane.group_by_key[group.key]
        if not lane.group_by_key:
            del self.lane_by_key[lane.key]

    def __len__(self) -> int:
        return len(self._group_by_job)

    def __iter__(self) -> Iterator[JobGroup]:
        return iter(self.group_by_key.values())


@attrs.define
class TeamUsage:
    """Usage and quota of each team over all pools."""

    quota_by_team: dict[str, Resources] = attrs.field(factory=dict)
    held_by_team: dict[str, Resources] = attrs.field(factory=dict)
    _share_by_team: dict[str, float] = attrs.field(factory=dict, init=False)

    def set_team(self, team: Team) -> None:
        """Set a team's quota."""
        self.quota_by_team[team.name] = resources_offered(quota_shape(team))
        self._share_by_team.pop(team.name, None)

    def acquire(self, team: str, resources: Resources) -> None:
        """Add resources to a team's usage."""
        self.held_by_team[team] = self.held_by_team.get(team, NO_RESOURCES).plus(
            resources
        )
        self._share_by_team.pop(team, None)

    def release(self, team: str, resources: Resources) -> None:
        """Subtract resources from a team's usage."""
        self.held_by_team[team] = self.held_by_team[team].minus(resources)
        self._share_by_team.pop(team, None)

    def allows(self, team: str, resources: Resources) -> bool:
        """Return whether the team stays within its quota with these resources added."""
        held = self.held_by_team.get(team, NO_RESOURCES)
        return held.plus(resources).fits(self.quota_by_team.get(team, NO_RESOURCES))

    def share(self, team: str) -> float:
        """Return the largest share of its quota that a team holds in any resource."""
        if team not in self._share_by_team:
            held = self.held_by_team.get(team, NO_RESOURCES)
            quota = self.quota_by_team.get(team, NO_RESOURCES)
            pairs = zip(held, quota, strict=True)
            share = max(have / limit if limit else 0.0 for have, limit in pairs)
            self._share_by_team[team] = share
        return self._share_by_team[team]
