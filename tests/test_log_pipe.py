"""Tests of non-blocking log output and of line rate limiting."""

import os
import time

import pytest

from rhubarbmount.log_pipe import LineRateLimiter, PipeStream


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def test_stalled_reader_drops_lines_without_blocking(pipe):
    reader, writer = pipe
    stream = PipeStream(writer)
    begun_s = time.monotonic()
    for number in range(2000):
        stream.write(f"event=x number={number} {'.' * 100}\n")
    assert time.monotonic() - begun_s < 1.0
    dropped = stream.dropped_count
    assert dropped > 0
    read = os.read(reader, 1 << 20)
    assert read.endswith(b"\n")
    assert read.count(b"\n") + dropped == 2000
    stream.write("event=y\n")
    assert (
        os.read(reader, 4096) == f"event=lines-lost count={dropped}\nevent=y\n".encode()
    )


def test_lines_over_the_limit_are_counted():
    limiter = LineRateLimiter(lines_per_s=3)
    assert limiter.take_suppressed(10.0) == {}
    allowed = [limiter.allows("start") for _ in range(5)]
    assert allowed == [True, True, True, False, False]
    assert limiter.allows("move")
    assert limiter.take_suppressed(10.9) == {}
    assert limiter.take_suppressed(11.0) == {"start": 2}
    assert limiter.allows("start")
