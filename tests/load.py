"""Callers that send requests of their own until they are told to stop."""

import threading
import time


class Load:
    """Callers in threads, spread over entry hosts, each request with its own id."""

    def __init__(
        self, deployment, service, entry_hosts, callers=4, pause_s=0.01, method="POST"
    ):
        self.answer_by_id = {}
        self.sent_s_by_id = {}
        self._deployment = deployment
        self._service = service
        self._entry_hosts = entry_hosts
        self._pause_s = pause_s
        self._method = method
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(callers)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self.stop()

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, caller):
        number = 0
        while not self._stopping.wait(self._pause_s):
            number += 1
            entry_host = self._entry_hosts[(caller + number) % len(self._entry_hosts)]
            request_id = f"{self._service}-{caller}-{number}"
            self.sent_s_by_id[request_id] = time.monotonic()
            self.answer_by_id[request_id] = self._deployment.request(
                entry_host,
                self._method,
                f"/{self._service}/lodgements",
                {"request-id": request_id, "idempotency-key": request_id},
                "accounts",
            )
