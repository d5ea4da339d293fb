"""Validation of state charts, and the transitions of a host."""

import pytest

from rhubarbmount.errors import FindingsError, Refused
from rhubarbmount.hosts import HostState
from rhubarbmount.statecharts import load_chart, parse_chart

BROKEN_CHART = """
name: lamp
initial: off
states: [off, on, dim]
transitions:
  - {event: press, from: [off], to: on}
  - {event: press, from: [off], to: gone}
"""


def test_the_host_chart_and_the_code_name_the_same_states():
    assert set(load_chart("host").states) == {state.value for state in HostState}


def test_a_host_changes_pool_only_once_it_is_drained():
    chart = load_chart("host")
    accepting = [state for state in chart.states if chart.accepts(state, "move")]
    assert accepting == ["drained"]


def test_an_event_without_a_transition_is_refused():
    with pytest.raises(Refused) as caught:
        load_chart("host").next_state("in-service", "maintain")
    assert caught.value.code == "no-transition"


def test_every_problem_of_a_chart_is_reported_together():
    with pytest.raises(FindingsError) as caught:
        parse_chart(BROKEN_CHART, "lamp.yaml")
    codes = [finding.code for finding in caught.value.findings]
    assert codes == ["ambiguous-event", "unknown-state", "unreachable-state"]


def test_an_unreadable_chart_is_a_finding_with_its_place():
    with pytest.raises(FindingsError) as caught:
        parse_chart("name: lamp", "lamp.yaml")
    assert caught.value.findings[0].place == "lamp.yaml"
