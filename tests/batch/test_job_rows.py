"""Rows of a shard's jobs, in the order in which a commit may be split."""

from rhubarbmount.batch.job_rows import JobRows
from rhubarbmount.batch.model import Job
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.tables import PROGRESS_TABLE, SPECS_TABLE
from rhubarbmount.batch.write_batch import WriteBatch
from tests.batch.test_shard import CATALOGUE, spec, step


class RecordingCommitter:
    """Records the tables that are written and removed, in their order."""

    def __init__(self):
        self.written = []
        self.removed = []

    async def commit(self, puts, removes=()):
        self.written.extend(name.table for name in puts)
        self.removed.extend(name.table for name in removes)
        return frozenset()


def make_rows():
    committer = RecordingCommitter()
    shard = Shard(CATALOGUE)
    shard.add_job(Job(spec(step())))
    return committer, JobRows("shard-0", shard, WriteBatch(committer), lambda: 0.0)


# A takeover in between must find no progress without its spec; a spec without progress
# is ignored.
async def test_a_spec_is_written_once_and_before_the_progress():
    committer, rows = make_rows()
    for _ in range(2):
        rows.shard.dirty.add("j1")
        rows.put_changed()
        await rows.write_batch.commit()
    of_jobs = [t for t in committer.written if t in (SPECS_TABLE, PROGRESS_TABLE)]
    assert of_jobs == [SPECS_TABLE, PROGRESS_TABLE, PROGRESS_TABLE]


async def test_the_progress_is_removed_before_the_spec():
    committer, rows = make_rows()
    rows.remove("j1")
    await rows.write_batch.commit()
    assert committer.removed == [PROGRESS_TABLE, SPECS_TABLE]
