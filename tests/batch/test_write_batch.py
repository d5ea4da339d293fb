"""Rows that wait for the next commit of a shard."""

import trio

from rhubarbmount.batch.committer import MAX_ROWS_PER_COMMIT
from rhubarbmount.batch.write_batch import WriteBatch
from rhubarbmount.platform.rows import RowName


class Committer:
    """Remembers the sizes of commits, and puts a row during the first one."""

    def __init__(self):
        self.sizes = []
        self.write_batch = None

    async def commit(self, puts, removes=()):
        self.sizes.append((len(puts), len(removes)))
        if self.write_batch is not None:
            self.write_batch.put(RowName("t", "p", "late"), b"")
            self.write_batch = None
        await trio.lowlevel.checkpoint()


def row(number):
    return RowName("t", "p", str(number))


async def test_no_commit_holds_more_rows_than_the_store_takes():
    committer = Committer()
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


async def test_rows_put_during_a_commit_wait_for_the_next_one():
    committer = Committer()
    write_batch = committer.write_batch = WriteBatch(committer)
    saved = write_batch.put_awaited(row(1), b"")
    assert not saved.is_set()
    await write_batch.commit()
    assert saved.is_set()
    assert write_batch
    await write_batch.commit()
    assert committer.sizes == [(1, 0), (1, 0)]
    assert not write_batch
