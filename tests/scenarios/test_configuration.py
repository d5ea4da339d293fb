"""Accepted configurations."""

from pytest_bdd import scenarios

scenarios("configuration.feature")
