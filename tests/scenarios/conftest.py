"""What the steps of scenarios share."""

import pytest

from tests.deployment import Deployment
from tests.reboots import Rebooter
from tests.watch import Watch


@pytest.fixture
def deployment(tmp_path):
    with Deployment(tmp_path) as deployment:
        yield deployment


@pytest.fixture
def answers():
    """The answers that callers got, by request id."""
    return {}


@pytest.fixture
def load(deployment):
    """The callers at work, if a step started them."""
    running = []
    yield running
    for item in running:
        item.stop()


@pytest.fixture
def marked_s():
    """When hosts were marked as leaving, by name."""
    return {}


@pytest.fixture
def edits():
    """The answers to operators' edits, in order."""
    return []


@pytest.fixture
def watch(deployment):
    """Look at the rows and versions from the first step that asks for it."""
    watch = Watch(deployment)
    yield watch
    watch.stop()


@pytest.fixture
def resenders():
    """The callers at work, if a step started them."""
    started = []
    yield started
    for item in started:
        item.join()


@pytest.fixture
def rebooter(deployment):
    rebooter = Rebooter(deployment)
    yield rebooter
    rebooter.stop()


@pytest.fixture
def frozen():
    """The entry hosts that were frozen, in order."""
    return []


@pytest.fixture
def states():
    """The numbers of hosts that were seen out of service."""
    return []
