"""Logging that neither blocks nor floods."""

import os
import time

import pytest

from rhubarbmount.log_pipe import LineBudget, PipeStream


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def test_a_reader_that_stops_costs_lines_and_no_time(pipe):
    reader, writer = pipe
    stream = PipeStream(writer)
    begun_s = time.monotonic()
    for number in range(2000):
        stream.write(f"event=x number={number} {'.' * 100}\n")
    assert time.monotonic() - begun_s < 1.0
    lost = stream.lost_count
    assert lost > 0
    read = os.read(reader, 1 << 20)
    assert read.endswith(b"\n")
    assert read.count(b"\n") + lost == 2000
    stream.write("event=y\n")
    assert os.read(reader, 4096) == f"event=lines-lost count={lost}\nevent=y\n".encode()


def test_kinds_beyond_their_budget_are_counted():
    budget = LineBudget(lines_per_s=3)
    assert budget.take_left_out(10.0) == {}
    allowed = [budget.allows("start") for _ in range(5)]
    assert allowed == [True, True, True, False, False]
    assert budget.allows("move")
    assert budget.take_left_out(10.9) == {}
    assert budget.take_left_out(11.0) == {"start": 2}
    assert budget.allows("start")
