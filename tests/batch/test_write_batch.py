"""Tests for batching row changes of a shard."""

import trio

from rhubarbmount.batch.committer import MAX_BYTES_PER_COMMIT, MAX_ROWS_PER_COMMIT
from rhubarbmount.batch.write_batch import WriteBatch
from rhubarbmount.platform.rows import RowName


class RecordingCommitter:
    """Committer that records commit sizes and can add a row during the first one."""

    def __init__(self):
        self.sizes = []
        self.write_batch = None

    async def commit(self, puts, removes=()):
        self.sizes.append((len(puts), len(removes)))
        if self.write_batch is not None:
            self.write_batch.put(RowName("t", "p", "late"), b"")
            self.write_batch = None
        await trio.lowlevel.checkpoint()
        return frozenset()


def row(number):
    return RowName("t", "p", str(number))


async def test_commits_are_split_at_the_row_limit():
    committer = RecordingCommitter()
    write_batch = WriteBatch(committer)
    for number in range(MAX_ROWS_PER_COMMIT + 1):
        write_batch.put(row(number), b"")
        write_batch.remove(row(-number - 1))
    await write_batch.commit()
    assert committer.sizes == [
        (MAX_ROWS_PER_COMMIT, 0),
        (1, 0),
        (0, MAX_ROWS_PER_COMMIT),
        (0, 1),
    ]


# Guards against commits that the store refuses for their size.
async def test_commits_are_split_at_the_size_limit():
    committer = RecordingCommitter()
    write_batch = WriteBatch(committer)
    for number in range(5):
        write_batch.put(row(number), bytes(MAX_BYTES_PER_COMMIT // 2))
    await write_batch.commit()
    assert committer.sizes == [(2, 0), (2, 0), (1, 0)]


async def test_a_row_over_the_size_limit_is_committed_alone():
    committer = RecordingCommitter()
    write_batch = WriteBatch(committer)
    write_batch.put(row(1), b"")
    write_batch.put(row(2), bytes(MAX_BYTES_PER_COMMIT + 1))
    write_batch.put(row(3), b"")
    await write_batch.commit()
    assert committer.sizes == [(1, 0), (1, 0), (1, 0)]


async def test_rows_put_during_a_commit_wait_for_the_next_one():
    committer = RecordingCommitter()
    write_batch = committer.write_batch = WriteBatch(committer)
    stored = write_batch.put_awaited(row(1), b"")
    assert not stored.is_set()
    await write_batch.commit()
    assert stored.is_set()
    assert write_batch
    await write_batch.commit()
    assert committer.sizes == [(1, 0), (1, 0)]
    assert not write_batch
