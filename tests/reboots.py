"""Reboots the backend servers of hosts that are being maintained."""

import threading

from tests.deployment import BACKEND_PORT


def restart(deployment, host_id):
    program = deployment.backend_by_name[host_id]
    ran = deployment.backend_state(host_id)["ran"]
    deployment.earlier_runs.update(ran)
    program.kill()
    deployment.start_backend(host_id, program.address)
    deployment.wait_for_port(program.address, BACKEND_PORT)
    deployment.set_backend(host_id, delay_s=deployment.backend_delay_s)


class Rebooter:
    """Restart the backend server of each host whose row says maintenance, once."""

    def __init__(self, deployment):
        self.host_ids = []
        self.lock = threading.Lock()
        self._deployment = deployment
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        self._stopping.set()
        self._thread.join()

    def _run(self):
        while not self._stopping.wait(0.05):
            for host in self._deployment.hosts:
                with self.lock:
                    self._reboot_if_due(host["host_id"])

    def _reboot_if_due(self, name):
        row = self._deployment.read_row("hosts", name)["value"]
        running = self._deployment.backend_by_name[name].process.poll() is None
        due = row["state"] == "maintenance" and name not in self.host_ids
        if due and running:
            restart(self._deployment, name)
            self.host_ids.append(name)
