"""Looks at the rows of hosts and at the versions in force until it is stopped."""

import threading
import time

from tests.checkers import Look
from tests.deployment import OPERATORS_PORT, call

PERIOD_S = 0.02
VERSION_PERIOD_S = 0.2


class Watch:
    """One thread for the rows, and one for the version at each entry host."""

    def __init__(self, deployment):
        self.looks = []
        self.versions_by_host = {name: [] for name in deployment.entry_host_by_name}
        self._deployment = deployment
        self._stopping = threading.Event()
        self._threads = [threading.Thread(target=self._look_at_rows, daemon=True)]
        for name in self.versions_by_host:
            arguments = (name, deployment.entry_host_by_name[name].address)
            thread = threading.Thread(
                target=self._look_at_versions, args=arguments, daemon=True
            )
            self._threads.append(thread)
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _look_at_rows(self):
        while not self._stopping.wait(PERIOD_S):
            live = self._deployment.platform_call("GET", "/hosts")
            rows = self._deployment.platform_call("GET", "/tables/hosts")
            if live.status == rows.status == 200:
                listed = frozenset(host["host_id"] for host in live.json())
                hosts = tuple((row["key"], row["value"]) for row in rows.json())
                self.looks.append(Look(time.monotonic(), hosts, listed))

    def _look_at_versions(self, name, address):
        headers = {"authorization": "Bearer admin-token"}
        while not self._stopping.wait(VERSION_PERIOD_S):
            answer = call(
                address, OPERATORS_PORT, "GET", "/version", headers, timeout_s=1
            )
            version = answer.json()["version"] if answer.status == 200 else 0
            if version:  # 0 is said before a first copy is held
                self.versions_by_host[name].append(version)
