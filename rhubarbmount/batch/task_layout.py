"""Division of a job's tasks into pieces whose progress is stored in rows of their own.

A change of one task thus costs the same in a job of any size.
"""

from bisect import bisect_right
from collections.abc import Iterator
from itertools import accumulate

import attrs

__all__ = ["TaskLayout", "TaskRange"]

# Kept small enough that the states of so many tasks fit into a row.
TASKS_PER_PIECE = 500


@attrs.frozen
class TaskRange:
    """Consecutive tasks of one step in one occurrence; ``end`` is exclusive."""

    occurrence: int
    step: int
    first: int
    end: int


@attrs.frozen
class TaskLayout:
    """Positions of a job's tasks, by occurrence, step and number.

    A step comes after those that it depends on. Pieces stored in ascending order thus
    never show a step as begun without the ends that it waited for.
    """

    # Number of tasks in the steps before each step, and in all of them at the end.
    offsets: tuple[int, ...]
    occurrence_count: int

    @classmethod
    def of(cls, step_counts: Iterator[int], occurrence_count: int) -> "TaskLayout":
        """Return the layout of a job with steps of so many tasks each.

        >>> layout = TaskLayout.of(iter([400, 300]), 1)
        >>> layout.piece_of(0, 1, 99), layout.piece_of(0, 1, 100)
        (0, 1)
        >>> list(layout.ranges_of(1))
        [TaskRange(occurrence=0, step=1, first=100, end=300)]
        """
        return cls(tuple(accumulate(step_counts, initial=0)), occurrence_count)

    @property
    def task_count(self) -> int:
        """Return the number of tasks of all occurrences."""
        return self.offsets[-1] * self.occurrence_count

    @property
    def is_whole(self) -> bool:
        """Return whether one piece holds all tasks."""
        return self.task_count <= TASKS_PER_PIECE

    @property
    def piece_count(self) -> int:
        """Return the number of pieces."""
        return -(-self.task_count // TASKS_PER_PIECE)

    def piece_of(self, occurrence: int, step: int, number: int) -> int:
        """Return the piece that holds a task."""
        position = occurrence * self.offsets[-1] + self.offsets[step] + number
        return position // TASKS_PER_PIECE

    def ranges_of(self, piece: int) -> Iterator[TaskRange]:
        """Return the tasks of a piece in ascending order."""
        position = piece * TASKS_PER_PIECE
        end = min(position + TASKS_PER_PIECE, self.task_count)
        while position < end:
            occurrence, place = divmod(position, self.offsets[-1])
            step = bisect_right(self.offsets, place) - 1
            first = place - self.offsets[step]
            count = min(self.offsets[step + 1] - place, end - position)
            yield TaskRange(occurrence, step, first, first + count)
            position += count
