"""The holder reports how long its scheduling passes take."""

import logging

import pytest

from rhubarbmount.batch import clocks
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.scheduling_meter import SchedulingMeter


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
    meter.record_pass(0.01, 3, late_starts=2, waiting_steps=2, waiting_tasks=9)
    assert caplog.records == []
    clock[0] += 1.5
    meter.record_pass(0.02, 1, late_starts=1, waiting_steps=1, waiting_tasks=4)
    (record,) = caplog.records
    line = record.getMessage()
    assert "event=scheduling " in line
    assert " passes=2 " in line
    assert " longest_placing_s=0.05 " in line
    assert " starts=4 " in line
    assert " late_starts=3 " in line
    assert line.endswith(" waiting_tasks=4")


def test_an_idle_holder_reports_nothing(clock, caplog):
    caplog.set_level(logging.INFO)
    meter = SchedulingMeter(BatchMetrics())
    clock[0] += 1.5
    meter.record_pass(0.0, 0, late_starts=0, waiting_steps=0, waiting_tasks=0)
    assert caplog.records == []
