"""Tests of finding the queue of a request."""

import random
import time

import pytest

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.model import Queue, QueueName

MANY_QUEUES = 20_000
MAX_FIND_S = 0.0005


def make_catalogue(names):
    return Catalogue(1, {name: Queue(name, "s", 0, 1, 1.0, 1.0) for name in names}, {})


def longest_prefix(names, host, path):
    found = [n for n in names if n.host == host and path.startswith(n.prefix)]
    return max(found, key=lambda name: len(name.prefix), default=None)


@pytest.mark.parametrize("seed", range(20))
def test_the_queue_with_the_longest_prefix_is_found(seed):
    generator = random.Random(seed)

    def text(longest):
        return "/" + "".join(generator.choices("ab/", k=generator.randint(0, longest)))

    names = {QueueName(generator.choice("xy"), text(5)) for _ in range(12)}
    catalogue = make_catalogue(names)
    for _ in range(200):
        host, path = generator.choice("xyz"), text(8)
        queue = catalogue.find(host, path)
        assert (queue and queue.name) == longest_prefix(names, host, path)


# Guards against requests that look at each of many queues.
def test_a_request_does_not_look_at_each_queue():
    names = [QueueName("x", f"/{number:08}/") for number in range(MANY_QUEUES)]
    catalogue = make_catalogue(names)
    assert catalogue.find("x", "/00000000/a").name == names[0]
    began_s = time.process_time()
    for number in range(0, MANY_QUEUES, 20):
        assert catalogue.find("x", f"/{number:08}/a").name == names[number]
        assert catalogue.find("x", f"/none-{number}/a") is None
    assert (time.process_time() - began_s) / (MANY_QUEUES / 10) < MAX_FIND_S
