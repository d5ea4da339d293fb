"""Tests of the spacing of ticks and of slow readers."""

import trio

from rhubarbmount.timers import TimerService


async def test_ticks_are_spaced_by_jittered_period(autojump_clock):
    ticks = TimerService(seed=1).every("poll", 2.0, jitter=0.1)
    seen_s = [trio.current_time()]
    for _ in range(20):
        await anext(ticks)
        seen_s.append(trio.current_time())
    gaps = [later - earlier for earlier, later in zip(seen_s, seen_s[1:], strict=False)]
    assert all(1.8 - 1e-6 <= gap <= 2.2 + 1e-6 for gap in gaps)
    assert len(set(gaps)) > 1


async def test_slow_reader_gets_single_late_tick(autojump_clock):
    ticks = TimerService(seed=1).every("poll", 1.0, jitter=0.0)
    await anext(ticks)
    await trio.sleep(5.0)
    begin_s = trio.current_time()
    await anext(ticks)
    assert trio.current_time() == begin_s
    await anext(ticks)
    assert trio.current_time() >= begin_s + 1.0 - 1e-6
