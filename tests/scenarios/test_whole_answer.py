"""Whole answers, and nobody cut by a planned stop."""

from pytest_bdd import scenarios

scenarios("whole_answer.feature", "planned_stop.feature")
