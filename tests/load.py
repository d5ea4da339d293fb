"""Callers that send requests of their own until they are told to stop."""

import http.client
import threading
import time

from tests.deployment import CALLERS_PORT, METRICS_PORT, call, exchange


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
            request_id = f"{self._service}-{caller}-{number}"
            self.sent_s_by_id[request_id] = time.monotonic()
            entry_host = self._pick(caller + number)
            self.answer_by_id[request_id] = self._send(caller, entry_host, request_id)

    def _pick(self, number):
        return self._entry_hosts[number % len(self._entry_hosts)]

    def _send(self, caller, entry_host, request_id):
        return self._deployment.request(
            entry_host,
            self._method,
            f"/{self._service}/lodgements",
            {"request-id": request_id, "idempotency-key": request_id},
            "accounts",
        )


class MeasuredLoad(Load):
    """Callers that note how long the entry host had no processor meanwhile."""

    def __init__(self, deployment, service, entry_hosts):
        super().__init__(deployment, service, entry_hosts)
        self.starved_s_by_id = {}

    def own_latency_s(self, request_id):
        """Return a request's latency without the time that others took the processor.

        A request also waits while the entry host starves on behalf of another one.
        """
        latency_s = self.answer_by_id[request_id].latency_s
        return latency_s - self.starved_s_by_id[request_id]

    def _send(self, caller, entry_host, request_id):
        program = self._deployment.entry_host_by_name[entry_host]
        starved_s = program.starved_s()
        answer = super()._send(caller, entry_host, request_id)
        self.starved_s_by_id[request_id] = program.starved_s() - starved_s
        return answer


class BalancedLoad(Load):
    """Callers on kept-alive connections, behind a balancer that checks readiness.

    The balancer sends nothing to an entry host that was not ready at its last check.
    """

    def __init__(self, deployment, service, entry_hosts, check_period_s):
        super().__init__(deployment, service, entry_hosts)
        self._ready = list(entry_hosts)
        self._check_period_s = check_period_s
        self._connection_by_route = {}
        self._threads.append(threading.Thread(target=self._check, daemon=True))

    def stop(self):
        super().stop()
        for connection in self._connection_by_route.values():
            connection.close()

    def _check(self):
        while not self._stopping.wait(self._check_period_s):
            self._ready = [name for name in self._entry_hosts if self._is_ready(name)]

    def _is_ready(self, entry_host):
        address = self._deployment.entry_host_by_name[entry_host].address
        return call(address, METRICS_PORT, "GET", "/readyz").status == 200

    def _pick(self, number):
        ready = self._ready
        return ready[number % len(ready)]

    def _send(self, caller, entry_host, request_id):
        address = self._deployment.entry_host_by_name[entry_host].address
        connection = self._connection_by_route.setdefault(
            (caller, entry_host),
            http.client.HTTPConnection(address, CALLERS_PORT, timeout=15),
        )
        headers = {"request-id": request_id, "idempotency-key": request_id}
        path = f"/{self._service}/lodgements"
        return exchange(connection, self._method, path, headers, "accounts")
