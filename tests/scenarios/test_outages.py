"""Work on hosts, when the platform goes away and racks are lost."""

from pytest_bdd import scenarios

scenarios("outages.feature", "rack_loss.feature", "lagging_list.feature")
