"""Leaving backend servers, and refusals that are true."""

from pytest_bdd import scenarios

scenarios("leaving.feature", "not_run.feature")
