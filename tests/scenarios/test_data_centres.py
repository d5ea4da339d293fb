"""Data centres that are cut off, lost and joined again."""

from pytest_bdd import scenarios

scenarios("data_centres.feature", "three_data_centres.feature")
