"""Fleet duties over separate processes: a killed holder, and a wave under load."""

from pytest_bdd import scenarios

scenarios("fleet.feature")
