"""Random faults over processes in two data centres, for a time, with all checkers.

python -m tests.soak --seconds 120 --seed 7
"""

import contextlib
import random
import sys
import tempfile
import time
from pathlib import Path

import defopt

from tests.checkers import broken_budgets, misplaced_hosts, reverted_versions
from tests.deployment import Deployment, wait_until
from tests.reboots import Rebooter
from tests.resend import Resenders
from tests.watch import Watch

SERVICE = "lodgements"
ENTRY_HOSTS = {"e1": "dc-a", "e2": "dc-a", "e3": "dc-b", "e4": "dc-b"}
BACKENDS = {"h1": "dc-a", "h2": "dc-a", "h3": "dc-b", "h4": "dc-b"}
LODGEMENTS = 40
QUICK_WORK = {"view_s": 2, "drain_s": 1, "reboot_min_s": 3, "warm_s": 1}
SETTLE_S = 30.0


class Faults:
    """Each fault as a context: it is brought about on entry and mended on exit."""

    def __init__(self, deployment, generator):
        self._deployment = deployment
        self._generator = generator

    def any(self):
        """Return a random fault."""
        kinds = (self.cut_centre, self.cut_platform, self.outage, self.freeze)
        return self._generator.choice((*kinds, self.kill, self.lose_answers))()

    def _any_entry_host(self):
        return self._generator.choice(sorted(ENTRY_HOSTS))

    @contextlib.contextmanager
    def cut_centre(self):
        hears, is_heard = self._generator.choice([(0, 0), (1, 0), (0, 1)])
        self._deployment.network.cut("dc-b", bool(hears), bool(is_heard))
        yield f"cut dc-b hears={hears} is_heard={is_heard}"
        self._deployment.network.heal("dc-b")

    @contextlib.contextmanager
    def cut_platform(self):
        name = self._any_entry_host()
        self._deployment.relay_by_name[f"{name}-platform"].cut()
        yield f"cut {name} from the platform"
        self._deployment.relay_by_name[f"{name}-platform"].heal()

    @contextlib.contextmanager
    def outage(self):
        self._deployment.set_platform(down=True)
        yield "platform down"
        self._deployment.set_platform(down=False)

    @contextlib.contextmanager
    def freeze(self):
        name = self._any_entry_host()
        self._deployment.entry_host_by_name[name].freeze()
        yield f"freeze {name}"
        self._deployment.entry_host_by_name[name].resume()

    @contextlib.contextmanager
    def kill(self):
        name = self._any_entry_host()
        self._deployment.entry_host_by_name[name].kill()
        yield f"kill {name}"
        if self._deployment.entry_host_by_name[name].process.poll() is not None:
            self._deployment.entry_host_by_name[name].start()

    @contextlib.contextmanager
    def lose_answers(self):
        count = self._generator.randint(1, 3)
        self._deployment.set_platform(lost_answers=count)
        yield f"lose {count} answers"
        self._deployment.set_platform(lost_answers=0)


def open_deployment(deployment):
    """Start the platform, backend servers and entry hosts."""
    deployment.add_pool(SERVICE)
    deployment.add_service(SERVICE)
    deployment.extra_settings["fleet"] = {"work": QUICK_WORK}
    for name, data_centre in BACKENDS.items():
        deployment.add_backend(name, SERVICE, data_centre, rack=f"{data_centre}-rack")
    deployment.start_platform()
    for name, data_centre in ENTRY_HOSTS.items():
        deployment.start_entry_host(name, data_centre)


def run_round(deployment, maintenance, generator, number):
    """Bring about two faults that overlap while lodgements are sent; return faults."""
    senders = Resenders(
        deployment, SERVICE, list(ENTRY_HOSTS), LODGEMENTS, prefix=f"round-{number}"
    )
    faults = Faults(deployment, generator)
    with contextlib.ExitStack() as stack:
        for _ in range(2):
            print("  ", stack.enter_context(faults.any()), flush=True)
            time.sleep(generator.uniform(0.2, 4.0))
    senders.join()
    for name in ENTRY_HOSTS:
        deployment.wait_ready(name)
    with maintenance.rebooter.lock:
        return senders.violations(deployment.runs_by_id())


class Maintenance:
    """Waves that follow each other, with each host rebooted as they want."""

    def __init__(self, deployment):
        self.waves = 0
        self.reboots = 0
        self._deployment = deployment
        self.rebooter = Rebooter(deployment)

    def start_wave(self):
        """Start a wave unless one is open or the platform is out."""
        answer = self._deployment.operate("e1", "POST", "/waves", {})
        if answer.status == 202:
            self.waves += 1
            with self.rebooter.lock:
                self.reboots += len(self.rebooter.host_ids)
                self.rebooter.host_ids.clear()

    def stop(self):
        """End the rebooting of hosts."""
        self.rebooter.stop()
        self.reboots += len(self.rebooter.host_ids)


def check_configuration(deployment, number):
    """Accept an edit, and wait until it is in force everywhere."""
    edits = []

    def accepted():
        edits.append(
            deployment.edit("admin", "service", SERVICE, "concurrency", number)
        )
        return edits[-1].status == 200

    wait_until(accepted, SETTLE_S, "an edit is accepted")
    version = edits[-1].json()["version"]

    def in_force():
        return all(deployment.version_at(name) >= version for name in ENTRY_HOSTS)

    wait_until(in_force, SETTLE_S, f"version {version} is in force")


def soak(*, seconds: float = 120.0, seed: int | None = None) -> None:
    """Run rounds of random faults until the time is over.

    :param seconds: begin no further round after this time
    :param seed: repeats the choices of an earlier run, which printed it
    """
    seed = random.randrange(2**32) if seed is None else seed
    print(f"seed={seed}", flush=True)
    generator = random.Random(seed)
    found = []
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder)) as deployment,
    ):
        open_deployment(deployment)
        watch = Watch(deployment)
        maintenance = Maintenance(deployment)
        end_s = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end_s and not found:
            number += 1
            print(f"round={number}", flush=True)
            maintenance.start_wave()
            found += run_round(deployment, maintenance, generator, number)
            check_configuration(deployment, 20 + number)
        maintenance.stop()
        watch.stop()
        found += broken_budgets(watch.looks, SERVICE)
        found += misplaced_hosts(watch.looks, BACKENDS, (SERVICE,))
        found += reverted_versions(watch.versions_by_host)
        if not maintenance.reboots:
            found.append("no host was maintained: budgets were not tried")
    print(f"seed={seed} rounds={number} waves={maintenance.waves}", end=" ")
    print(f"reboots={maintenance.reboots} broken={len(found)}")
    sys.exit("\n".join(found) or 0)


if __name__ == "__main__":
    defopt.run(soak)
