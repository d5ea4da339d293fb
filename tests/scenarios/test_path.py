"""The whole path."""

from pytest_bdd import scenarios

scenarios("path.feature")
