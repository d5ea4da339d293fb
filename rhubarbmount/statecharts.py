"""State charts: loading from YAML files, validation, and lookup of next states."""

from functools import cache
from importlib import resources
from typing import Any

import attrs
import yaml

from rhubarbmount.errors import Finding, FindingsError, Refused

__all__ = ["StateChart", "Transition", "load_chart", "parse_chart"]


@attrs.frozen
class Transition:
    """An event, the states that accept it, and the state it leads to."""

    event: str
    sources: tuple[str, ...]
    target: str


@attrs.frozen
class StateChart:
    """A finite state machine: states, and transitions between them."""

    name: str
    initial: str
    states: tuple[str, ...]
    transitions: tuple[Transition, ...]

    def next_state(self, state: str, event: str) -> str:
        """Return the state after the event; raises Refused if it is not accepted.

        >>> load_chart("host").next_state("draining", "empty")
        'drained'
        """
        for transition in self.transitions:
            if transition.event == event and state in transition.sources:
                return transition.target
        raise Refused(
            f"{self.name} in state {state} does not accept {event}",
            code="no-transition",
        )

    def accepts(self, state: str, event: str) -> bool:
        """Return whether the state accepts the event."""
        return any(
            transition.event == event and state in transition.sources
            for transition in self.transitions
        )


def parse_chart(text: str, place: str) -> StateChart:
    """Parse and validate a chart.

    Raises FindingsError with all findings at once; ``place`` is named in each.
    """
    try:
        chart = _structure(yaml.safe_load(text))
    except (yaml.YAMLError, KeyError, TypeError) as error:
        raise FindingsError([Finding(place, "unreadable-chart", str(error))]) from error
    findings = [
        Finding(place, code, message) for code, message in _find_problems(chart)
    ]
    if findings:
        raise FindingsError(findings)
    return chart


@cache
def load_chart(name: str) -> StateChart:
    """Return the chart of that name that ships with this package."""
    place = f"statecharts/{name}.yaml"
    text = resources.files("rhubarbmount").joinpath(place).read_text("utf-8")
    return parse_chart(text, place)


def _structure(values: dict[str, Any]) -> StateChart:
    transitions = tuple(
        Transition(item["event"], tuple(item["from"]), item["to"])
        for item in values["transitions"]
    )
    return StateChart(
        values["name"], values["initial"], tuple(values["states"]), transitions
    )


def _find_problems(chart: StateChart) -> list[tuple[str, str]]:
    problems = []
    known = set(chart.states)
    seen: set[tuple[str, str]] = set()
    for state in {chart.initial, *_referenced_states(chart)} - known:
        problems.append(("unknown-state", f"state {state} is not listed under states"))
    for transition in chart.transitions:
        for source in transition.sources:
            if (source, transition.event) in seen:
                problems.append(
                    (
                        "ambiguous-event",
                        f"{transition.event} from {source} is defined twice",
                    )
                )
            seen.add((source, transition.event))
    for state in known - _reachable_states(chart):
        problems.append(
            (
                "unreachable-state",
                f"state {state} can't be reached from the initial state",
            )
        )
    return sorted(problems)


def _referenced_states(chart: StateChart) -> set[str]:
    referenced = {transition.target for transition in chart.transitions}
    for transition in chart.transitions:
        referenced.update(transition.sources)
    return referenced


def _reachable_states(chart: StateChart) -> set[str]:
    reached = {chart.initial}
    while True:
        extended = reached | {
            transition.target
            for transition in chart.transitions
            if reached.intersection(transition.sources)
        }
        if extended == reached:
            return reached
        reached = extended
