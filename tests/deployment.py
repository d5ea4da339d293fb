"""Starts the real program and its stand-ins as separate processes on loopback."""

import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.parse
from collections import Counter
from contextlib import suppress
from pathlib import Path

import attrs
import yaml

from rhubarbmount.zmqtrio import CurveKeys
from tests.addresses import AddressBlock
from tests.network import Network
from tests.relay import Relay

ROOT = Path(__file__).resolve().parent.parent
CALLERS_PORT = 8080
OPERATORS_PORT = 8081
METRICS_PORT = 8082
PEERS_PORT = 8083
PLATFORM_PORT = 9000
BACKEND_PORT = 9100
START_TIMEOUT_S = 15.0
UNUSED_ADDRESS = "127.0.0.1"


@attrs.frozen
class Answer:
    """What a caller got; status 0 means that the connection failed."""

    status: int
    headers: dict[str, str]
    body: bytes
    latency_s: float

    @property
    def outcome(self) -> str:
        return self.headers.get("rhubarbmount-outcome", "")

    def json(self):
        return json.loads(self.body)


def digest(token):
    """Return the digest by which settings name a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def call(address, port, method, path, headers=None, body=None, timeout_s=15.0):
    """Send one request on a connection of its own."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout_s)
    try:
        return exchange(connection, method, path, headers, body)
    finally:
        connection.close()


def exchange(connection, method, path, headers=None, body=None):
    """Send one request on a connection, which is closed when it fails."""
    started = time.monotonic()
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        return Answer(0, {}, str(error).encode(), time.monotonic() - started)
    fields = {key.lower(): value for key, value in response.getheaders()}
    return Answer(response.status, fields, data, time.monotonic() - started)


def wait_until(condition, timeout_s, what="condition"):
    """Poll a condition until it holds; fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"not within {timeout_s} s: {what}")


class Program:
    """One process of the program, with its log in a file."""

    def __init__(self, name, address, arguments, folder, module=("rhubarbmount",)):
        self.name = name
        self.address = address
        self.log_path = folder / f"{name}.log"
        self._arguments = [*module, *arguments]
        self.start()

    def start(self):
        environment = dict(os.environ, PYTHONPATH=str(ROOT))
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def log(self):
        return self.log_path.read_text(encoding="utf-8")

    def starved_s(self):
        """Return how long its main thread was ready to run but had no processor.

        0 where the system doesn't tell.
        """
        with suppress(OSError):
            fields = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
            return int(fields[1]) / 1e9
        return 0.0

    def signal(self, number):
        self.process.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def terminate(self):
        self.signal(signal.SIGTERM)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process.poll() is None:
            self.resume()
            self.kill()


class Deployment:
    """A platform, backend servers and entry hosts, each at its own address.

    Seeds take effect when the platform starts: name hosts and entries before. Without
    ``cuts_data_centres``, no relays stand between data centres.
    """

    def __init__(self, folder):
        self.folder = folder
        self.hosts = []
        self.entries = {"team": [], "pool": [], "service": []}
        self.operators_by_name = {
            "admin": {"token_sha256": digest("admin-token"), "owners": ["firm"]},
            "rival": {"token_sha256": digest("rival-token"), "owners": ["rival"]},
        }
        self.extra_settings = {}
        self.peer_keys = CurveKeys.generate()
        self.platform = None
        self.backend_by_name = {}
        self.entry_host_by_name = {}
        self.relay_by_name = {}
        self.earlier_runs = Counter()
        self.backend_delay_s = 0.0
        self._settings_by_name = {}
        self._block = AddressBlock()
        self.network = Network(folder, self.new_address)
        self.cuts_data_centres = True

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        for relay in [*self.relay_by_name.values(), *self.network.relays()]:
            relay.close()
        programs = [*self.entry_host_by_name.values(), *self.backend_by_name.values()]
        for program in [*programs, self.platform]:
            if program is not None:
                program.end()
        self._block.close()

    def new_address(self):
        return self._block.new_address()

    def add_pool(self, name, owner="firm", **values):
        entry = {"name": name, "owner": owner, "hosts_wanted": 0} | values
        self.entries["pool"].append(entry)
        if not any(team["name"] == owner for team in self.entries["team"]):
            team = {"name": owner, "owner": owner}
            self.entries["team"].append(team)

    def add_service(self, name, owner="firm", **values):
        entry = {"name": name, "owner": owner, "pool": name} | values
        self.entries["service"].append(entry)

    def add_backend(self, name, pool, data_centre, rack="rack-1", slots=8, start=True):
        address = self.new_address() if start else UNUSED_ADDRESS
        self.hosts.append(
            {
                "host_id": name,
                "pool": pool,
                "data_centre": data_centre,
                "rack": rack,
                "address": f"{address}:{BACKEND_PORT}",
                "shape": {"processors": 32, "memory_gb": 64},
                "slots": slots,
            }
        )
        for entry in self.entries["pool"]:
            if entry["name"] == pool:
                entry["hosts_wanted"] += 1
        if start:
            self.network.add_listener(name, data_centre, (address, BACKEND_PORT))
            self.start_backend(name, address, slots)

    def start_backend(self, name, address, slots=8):
        arguments = ["standin", "backend", f"--address={address}"]
        arguments += [f"--port={BACKEND_PORT}", f"--host-id={name}", f"--slots={slots}"]
        self.backend_by_name[name] = Program(name, address, arguments, self.folder)

    def start_platform(self):
        seed = self.folder / "seed.yaml"
        seed.write_text(yaml.safe_dump({"hosts": self.hosts, "entries": self.entries}))
        address = self.new_address()
        arguments = ["standin", "platform", f"--address={address}", f"--seed={seed}"]
        self.platform = Program("platform", address, arguments, self.folder)
        self.wait_for_port(address, PLATFORM_PORT)
        for program in self.backend_by_name.values():
            self.wait_for_port(program.address, BACKEND_PORT)

    def wait_for_port(self, address, port):
        def answers():
            self._check_alive(address)
            with suppress(OSError):
                socket.create_connection((address, port), timeout=1).close()
                return True

        wait_until(answers, START_TIMEOUT_S, f"{address}:{port} listens")

    def _check_alive(self, address):
        for program in [self.platform, *self.backend_by_name.values()]:
            if program.address == address and program.process.poll() is not None:
                raise AssertionError(f"{program.name} ended: {program.log()}")

    def add_relay(self, name, target):
        """Return the address of a relay to the target."""
        address = self.new_address()
        self.relay_by_name[name] = Relay((address, target[1]), target)
        return address

    def start_entry_host(self, name, data_centre, ready=True):
        """Start an entry host that reaches the platform through its own relay.

        It is told the addresses of the entry hosts that were started before it.
        """
        address = self.new_address()
        platform = self.add_relay(
            f"{name}-platform", (self.platform.address, PLATFORM_PORT)
        )
        settings = {
            "instance": name,
            "data_centre": data_centre,
            "callers": {"address": address, "port": CALLERS_PORT},
            "operators": {"address": address, "port": OPERATORS_PORT},
            "metrics": {"address": address, "port": METRICS_PORT},
            "peers": self._peer_settings(address),
            "platform": {"address": f"{platform}:{PLATFORM_PORT}"},
            "operators_by_name": self.operators_by_name,
            "stop_timeout_s": 10,
        } | self.extra_settings
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        module = self._module(name, data_centre, address)
        arguments = ["serve", str(path)]
        program = Program(name, address, arguments, self.folder, module)
        self.entry_host_by_name[name] = program
        if ready:
            self.wait_ready(name)

    def _module(self, name, data_centre, address):
        """Return what runs an entry host, with relays to other data centres if any."""
        if not self.cuts_data_centres:
            return ("rhubarbmount",)
        self.network.add_listener(name, data_centre, (address, PEERS_PORT))
        routes = self.network.add_caller(name, data_centre)
        return ("tests.routed", routes) if self.network.is_split else ("rhubarbmount",)

    def _peer_settings(self, address):
        known = [program.address for program in self.entry_host_by_name.values()]
        return {
            "address": address,
            "port": PEERS_PORT,
            "peers": [f"{other}:{PEERS_PORT}" for other in known],
            "public_key": self.peer_keys.public,
            "secret_key": self.peer_keys.secret,
        }

    def wait_ready(self, name):
        wait_until(lambda: self.is_ready(name), START_TIMEOUT_S, f"{name} is ready")

    def is_ready(self, name):
        """Tell whether an entry host says that it takes callers."""
        return self._get_metrics(name, "/readyz").status == 200

    def answers_health(self, name):
        """Tell whether an entry host runs."""
        return self._get_metrics(name, "/healthz").status == 200

    def _get_metrics(self, name, path):
        program = self.entry_host_by_name[name]
        if program.process.poll() is not None:
            raise AssertionError(f"{name} ended: {program.log()}")
        return call(program.address, METRICS_PORT, "GET", path, timeout_s=2)

    def request(self, entry_host, method, target, headers=None, body=None, **options):
        """Send a caller's request to an entry host."""
        address = self.entry_host_by_name[entry_host].address
        return call(address, CALLERS_PORT, method, target, headers, body, **options)

    def operate(self, entry_host, method, path, value=None, token="admin-token"):
        """Send an operator's request to an entry host."""
        address = self.entry_host_by_name[entry_host].address
        headers = {"authorization": f"Bearer {token}"}
        body = None if value is None else json.dumps(value)
        return call(address, OPERATORS_PORT, method, path, headers, body)

    def edit(self, operator, kind, name, field, value, entry_host=None):
        """Change one field of an entry as an operator would."""
        entry_host = entry_host or next(iter(self.entry_host_by_name))
        path = f"/entries/{kind}/{name}"
        entry = self.operate(entry_host, "GET", path).json()
        body = {
            "values": entry["values"] | {field: value},
            "expected_version": entry["version"],
        }
        token = f"{operator}-token"
        return self.operate(entry_host, "PUT", path, body, token)

    def version_at(self, entry_host):
        """Return the catalogue version in force at an entry host."""
        return self.operate(entry_host, "GET", "/version").json()["version"]

    def set_backend(self, name, **faults):
        """Turn fault switches of a backend server; return its state."""
        address = self.backend_by_name[name].address
        body = json.dumps(faults)
        return call(address, BACKEND_PORT, "POST", "/control", body=body).json()

    def set_platform(self, **faults):
        """Turn fault switches of the platform; return its state."""
        body = json.dumps(faults)
        address = self.platform.address
        return call(address, PLATFORM_PORT, "POST", "/control", body=body).json()

    def platform_call(self, method, path, value=None):
        """Call the platform as another of its clients would."""
        body = None if value is None else json.dumps(value)
        return call(self.platform.address, PLATFORM_PORT, method, path, body=body)

    def read_row(self, table, key):
        """Return a row of the platform's table."""
        path = f"/tables/{table}/rows/{urllib.parse.quote(key, safe='')}"
        return self.platform_call("GET", path).json()

    def change_host(self, name, **changes):
        """Change a host's row and advance the fleet's head, in one transaction."""
        host = self.read_row("hosts", name)
        head = self.read_row("heads", "fleet")
        version = head["value"]["version"] + 1
        changed = [*head["value"]["changes"], [version, name]][-256:]
        fleet = {"version": version, "changes": changed}
        transaction = {
            "operation_id": f"change-{name}-{version}",
            "preconditions": [
                {"table": row["table"], "key": row["key"], "version": row["version"]}
                | {"equals": {}}
                for row in (host, head)
            ],
            "writes": [
                {"table": "hosts", "key": name, "value": host["value"] | changes},
                {"table": "heads", "key": "fleet", "value": fleet},
            ],
        }
        answer = self.platform_call("POST", "/transactions", transaction)
        assert answer.json()["committed"], answer

    def backend_state(self, name):
        """Return what a backend server ran."""
        return self.set_backend(name)

    def runs_by_id(self):
        """Return how often the backend servers ran each request.

        Those that ended count only as far as ``earlier_runs`` notes them.
        """
        runs = Counter(self.earlier_runs)
        for name, program in self.backend_by_name.items():
            if program.process.poll() is None:
                runs.update(self.backend_state(name)["ran"])
        return runs

    def run_count(self, request_id):
        """Return how often all backend servers together ran a request."""
        return self.runs_by_id()[request_id]
