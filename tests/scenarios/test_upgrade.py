"""Two versions side by side: the newer one is a writer at the platform."""

import urllib.parse
import zlib

import msgpack
import pytest
from pytest_bdd import parsers, scenarios, then, when

from rhubarbmount import __version__
from rhubarbmount.shared_rows import FORMAT
from tests.deployment import PLATFORM_PORT, call, wait_until
from tests.newer import adorned, missing, newer_snapshot
from tests.scenarios.steps import names
from tests.scenarios.steps.configuration import status_at

scenarios("upgrade.feature")

TABLES = ("hosts", "budgets", "intents", "heads")
TENANT = ["tenant/acme", 1, {"name": "acme", "owner": "firm", "lives_in": "x"}]


class Newer:
    """What a newer version has written, to be found again."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.value_by_row = {}
        self.catalogue_version = 0
        self._writes = 0

    def transact(self, preconditions, *writes):
        self._writes += 1
        transaction = {
            "operation_id": f"newer-{self._writes}",
            "preconditions": preconditions,
            "writes": [
                {"table": table, "key": key, "value": value}
                for table, key, value in writes
            ],
        }
        answer = self.deployment.platform_call("POST", "/transactions", transaction)
        return answer.json()["committed"]

    def scan(self, table):
        return self.deployment.platform_call("GET", f"/tables/{table}").json()

    def adorn(self, row):
        """Add fields to a row that is as it was read; tell whether it was."""
        value = adorned(row["value"])
        condition = {
            "table": row["table"],
            "key": row["key"],
            "version": row["version"],
            "equals": {},
        }
        if not self.transact([condition], (row["table"], row["key"], value)):
            return False
        self.value_by_row[row["table"], row["key"]] = value
        return True

    def write_catalogue(self, change, newer_format=None):
        """Write the next catalogue after a change of its rows, and its entries."""
        head = self.deployment.read_row("heads", "catalogue")
        path = "/objects/" + urllib.parse.quote(head["value"]["object"], safe="")
        body = self._object("GET", path).body
        version, rows = msgpack.unpackb(zlib.decompress(newer_snapshot(body, change)))
        formats = [newer_format] if newer_format else []
        body = zlib.compress(msgpack.packb([version + 1, rows, *formats]))
        self._object("PUT", "/objects/catalogue%2Fnewer", body)
        value = adorned({"version": version + 1, "object": "catalogue/newer"})
        entries = [
            ("entries", key, {"version": changed, "values": values})
            for key, changed, values in rows
        ]
        assert self.transact([], ("heads", "catalogue", value), *entries)
        self.catalogue_version = version + 1
        for key, _, values in rows:
            self.value_by_row["entries", key] = values
        self.value_by_row["heads", "catalogue"] = value

    def _object(self, method, path, body=None):
        address = self.deployment.platform.address
        return call(address, PLATFORM_PORT, method, path, body=body)

    def drops(self):
        """Return what was dropped from rows that are still there, as text."""
        found = []
        for (table, key), value in self.value_by_row.items():
            row = self.deployment.read_row(table, key)
            now = row.get("value")
            if now is None or now.get("intent_id") != value.get("intent_id"):
                continue
            now = now["values"] if table == "entries" else now
            found += [f"{table}/{key}: {path}" for path in missing(value, now)]
        return found


@pytest.fixture
def newer(deployment):
    return Newer(deployment)


def add_newer(rows):
    changed = []
    for key, version, values in rows:
        values = adorned(values)
        if key.startswith("service/"):
            values |= {"outage_choice": "ask", "work_class": "frugal"}
        changed.append([key, version, values])
    return [*changed, TENANT]


@when("a newer version adds fields, choices and a kind to the catalogue")
def write_newer_catalogue(newer):
    newer.write_catalogue(add_newer)


@when(parsers.parse("a newer version writes a catalogue of format {number:d}"))
def write_newer_format(newer, number):
    newer.write_catalogue(lambda rows: rows, number)


@when("a newer version adds fields to the shared rows")
def adorn_rows(newer):
    for table in TABLES:
        for row in newer.scan(table):
            wait_until(lambda row=row: adorn_now(newer, row), 10, str(row))


def adorn_now(newer, row):
    rows = {found["key"]: found for found in newer.scan(row["table"])}
    found = rows.get(row["key"])
    return found is None or newer.adorn(found)


@then(
    parsers.parse(
        'within {bound_s:g} s the newer version\'s catalogue is in force at "{hosts}"'
    )
)
def check_newer_in_force(deployment, newer, bound_s, hosts):
    def in_force():
        versions = [deployment.version_at(host) for host in names(hosts)]
        return min(versions) >= newer.catalogue_version

    wait_until(in_force, bound_s, f"version {newer.catalogue_version}")


@when(parsers.parse('an operator moves "{host}" to "{pool}"'))
def move_host(deployment, host, pool):
    answer = deployment.operate("e1", "POST", f"/hosts/{host}/move", {"pool": pool})
    assert answer.status == 202, answer


@then("nothing that the newer version wrote was dropped")
def check_no_drops(newer):
    tables = {table for table, _ in newer.value_by_row}
    assert tables == {"entries", *TABLES}
    assert newer.drops() == []


@when(
    parsers.parse(
        'an entry host "{name}" of program "{program}" and format {number:d}'
        " has its row"
    )
)
def write_newer_instance(newer, name, program, number):
    write_instance(newer, name, {"program": program, "format": number})


@when(parsers.parse('an entry host "{name}" of an older program has its row'))
def write_older_instance(newer, name):
    write_instance(newer, name, {})


def write_instance(newer, name, fields):
    value = {
        "instance": name,
        "data_centre": "dc-a",
        "address": f"{newer.deployment.new_address()}:8083",
        "incarnation": name,
    }
    assert newer.transact([], ("instances", name, value | fields))


@then(
    parsers.parse(
        'within {bound_s:g} s the status at "{host}" tells the programs of "{hosts}"'
    )
)
def check_programs(deployment, bound_s, host, hosts):
    own = {"program": __version__, "format": FORMAT}
    wanted = dict.fromkeys(names(hosts), own) | {
        "e8": {"program": "9.8.7", "format": 2},
        "e9": {"program": "", "format": 0},
    }
    wait_until(
        lambda: status_at(deployment, host)["programs"] == wanted,
        bound_s,
        f"the programs are {wanted}",
    )
