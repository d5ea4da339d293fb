"""Rows that wait for the next commit of a shard."""

import trio

from rhubarbmount.batch.committer import MAX_ROWS_PER_COMMIT
from rhubarbmount.batch.outbox import Outbox
from rhubarbmount.platform.rows import RowName


class Committer:
    """Remembers the sizes of commits, and puts a row during the first one."""

    def __init__(self):
        self.sizes = []
        self.outbox = None

    async def commit(self, puts, removes=()):
        self.sizes.append((len(puts), len(removes)))
        if self.outbox is not None:
            self.outbox.put(RowName("t", "p", "late"), b"")
            self.outbox = None
        await trio.lowlevel.checkpoint()


def row(number):
    return RowName("t", "p", str(number))


async def test_no_commit_holds_more_rows_than_the_store_takes():
    committer = Committer()
    outbox = Outbox(committer)
    for number in range(MAX_ROWS_PER_COMMIT + 1):
        outbox.put(row(number), b"")
        outbox.remove(row(-number - 1))
    await outbox.commit()
    assert committer.sizes == [
        (MAX_ROWS_PER_COMMIT, 0),
        (1, 0),
        (0, MAX_ROWS_PER_COMMIT),
        (0, 1),
    ]


async def test_rows_put_during_a_commit_wait_for_the_next_one():
    committer = Committer()
    outbox = committer.outbox = Outbox(committer)
    saved = outbox.put_awaited(row(1), b"")
    assert not saved.is_set()
    await outbox.commit()
    assert saved.is_set()
    assert outbox
    await outbox.commit()
    assert committer.sizes == [(1, 0), (1, 0)]
    assert not outbox
