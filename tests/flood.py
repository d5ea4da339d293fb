"""Callers in a process of their own, so that they take no time from others' callers."""

import multiprocessing

from tests.deployment import CALLERS_PORT, call, wait_until
from tests.load import Load

REFUSALS = 10

_processes = multiprocessing.get_context("spawn")


class Addressed:
    """Sends requests to one address, as a deployment does to its entry hosts."""

    def __init__(self, address):
        self._address = address

    def request(self, entry_host, method, target, headers=None, body=None):
        return call(self._address, CALLERS_PORT, method, target, headers, body)


class Flood:
    """Callers that flood a service at one entry host."""

    def __init__(self, address, service, callers):
        self.answer_by_id = {}
        self._pipe, there = _processes.Pipe()
        arguments = (there, address, service, callers)
        self._process = _processes.Process(target=_flood, args=arguments)
        self._process.start()

    def wait_refused(self, timeout_s):
        """Wait until the service refuses some of the callers."""
        assert self._pipe.poll(timeout_s), "the flood is refused"
        self._pipe.recv()

    def stop(self):
        """Stop the callers and take over their answers."""
        if self._process.is_alive():
            self._pipe.send("stop")
            self.answer_by_id = self._pipe.recv()
        self._process.join()


def _flood(pipe, address, service, callers):
    with Load(Addressed(address), service, ["it"], callers=callers) as load:

        def refused():
            answers = list(load.answer_by_id.values())
            return sum(answer.status == 503 for answer in answers) >= REFUSALS

        wait_until(refused, 60, "the flood is refused")
        pipe.send("refused")
        pipe.recv()
    pipe.send(load.answer_by_id)
