"""Reboots the backend servers of hosts that are being maintained."""

import threading

from tests.deployment import BACKEND_PORT


def begin_restart(deployment, host_id):
    """End and start a backend server, which runs nothing after its runs were noted."""
    program = deployment.backend_by_name[host_id]
    state = deployment.set_backend(host_id, guard_full=True)
    deployment.earlier_runs.update(state["ran"])
    program.kill()
    deployment.start_backend(host_id, program.address)


def finish_restart(deployment, host_id):
    address = deployment.backend_by_name[host_id].address
    deployment.wait_for_port(address, BACKEND_PORT)
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
            with self.lock:
                self._reboot_due()

    def _reboot_due(self):
        due = [h["host_id"] for h in self._deployment.hosts if self._is_due(h)]
        for name in due:
            begin_restart(self._deployment, name)
        for name in due:
            finish_restart(self._deployment, name)
        self.host_ids += due

    def _is_due(self, host):
        name = host["host_id"]
        row = self._deployment.read_row("hosts", name).get("value", {})
        running = self._deployment.backend_by_name[name].process.poll() is None
        due = row.get("state") == "maintenance" and name not in self.host_ids
        return due and running
