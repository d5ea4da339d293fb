"""The holder reports how long its scheduling passes take."""

import logging

import pytest

from rhubarbmount.batch import clocks
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.scheduling_meter import SchedulingMeter, SchedulingPass


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clocks.source, "monotonic_s", lambda: now[0])
    return now


def test_passes_of_a_second_are_reported_together(clock, caplog):
    caplog.set_level(logging.INFO)
    meter = SchedulingMeter(BatchMetrics())
    meter.record_placing(0.02)
    meter.record_placing(0.05)
    meter.record_pass(0.01, SchedulingPass(3, 2, 2, 9, 0.05))
    assert caplog.records == []
    clock[0] += 1.5
    meter.record_pass(0.02, SchedulingPass(1, 1, 1, 4, 0.25))
    (record,) = caplog.records
    line = record.getMessage()
    assert "event=scheduling " in line
    assert " passes=2 " in line
    assert " longest_placing_s=0.05 " in line
    assert " starts=4 " in line
    assert " late_starts=3 " in line
    assert " dispatch_delay_s=0.25 " in line
    assert line.endswith(" waiting_tasks=4")


def test_an_idle_holder_reports_nothing(clock, caplog):
    caplog.set_level(logging.INFO)
    meter = SchedulingMeter(BatchMetrics())
    clock[0] += 1.5
    meter.record_pass(0.0, SchedulingPass(0, 0, 0, 0, 0.05))
    assert caplog.records == []
