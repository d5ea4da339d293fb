"""HTTP API for operators: catalogue entries, and the version in force."""

import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs

from rhubarbmount.catalogue_writer import CatalogueWriter
from rhubarbmount.configuration import Configuration
from rhubarbmount.edits import CommittedEdit, Edit, Operator, Operators
from rhubarbmount.entries import dump_entry, entry_key, load_entry
from rhubarbmount.errors import AccessDenied, FindingsError, NotFound, UsageError
from rhubarbmount.http import HttpResponse, header_value
from rhubarbmount.instances import ConfigurationStatus
from rhubarbmount.problem import json_response
from rhubarbmount.router import ApiRequest, Router
from rhubarbmount.settings import OperatorSettings
from rhubarbmount.store.interface import Platform, Row
from rhubarbmount.tables import ENTRIES_TABLE, HISTORY_TABLE

__all__ = ["OperatorsApi", "operators_from"]

AUTHORIZATION_HEADER = b"authorization"
BEARER = "Bearer "


def operators_from(settings_by_name: Mapping[str, OperatorSettings]) -> Operators:
    """Build the operators listed in the settings."""
    return Operators(
        {
            settings.token_sha256: Operator(name, frozenset(settings.owners))
            for name, settings in settings_by_name.items()
        }
    )


@attrs.define(eq=False)
class OperatorsApi:
    """Handlers of operators' requests; more can be added to ``router``."""

    operators: Operators
    catalogue_writer: CatalogueWriter
    configuration: Configuration
    platform: Platform
    read_status: Callable[[], Awaitable[ConfigurationStatus]]
    router: Router = attrs.field(factory=Router)

    def __attrs_post_init__(self) -> None:
        self.router.add("GET", "/entries", self._list_entries)
        self.router.add("GET", "/entries/*/*", self._show_entry)
        self.router.add("PUT", "/entries/*/*", self._apply_entry)
        self.router.add("DELETE", "/entries/*/*", self._remove_entry)
        self.router.add("GET", "/entries/*/*/history", self._show_history)
        self.router.add("GET", "/version", self._show_version)
        self.router.add("GET", "/status", self._show_status)

    def authenticate(self, request: ApiRequest) -> Operator:
        """Return the operator with the request's bearer token. Raises AccessDenied."""
        value = header_value(request.request.headers, AUTHORIZATION_HEADER) or ""
        if not value.startswith(BEARER):
            raise AccessDenied("a bearer token is required", code="no-token")
        return self.operators.authenticate(value.removeprefix(BEARER))

    async def _list_entries(self, request: ApiRequest) -> HttpResponse:
        self.authenticate(request)
        snapshot = self.configuration.snapshot
        if snapshot is None:
            raise NotFound("no configuration is in force yet", code="not-ready")
        entries = [
            {"key": key, "owner": entry.owner, "version": snapshot.entry_version(key)}
            for key, entry in sorted(snapshot.entry_by_key.items())
        ]
        return json_response({"version": snapshot.version, "entries": entries})

    async def _show_entry(self, request: ApiRequest) -> HttpResponse:
        self.authenticate(request)
        key = _entry_key(request)
        snapshot = self.configuration.snapshot
        entry = None if snapshot is None else snapshot.entry_by_key.get(key)
        if snapshot is None or entry is None:
            raise NotFound(f"no entry {key}")
        version = snapshot.entry_version(key)
        values = dump_entry(entry)
        return json_response({"key": key, "version": version, "values": values})

    async def _apply_entry(self, request: ApiRequest) -> HttpResponse:
        operator = self.authenticate(request)
        body = request.json()
        if not isinstance(body, dict) or not isinstance(body.get("values"), dict):
            raise UsageError("the body must be a mapping with the entry under 'values'")
        kind, name = request.parts[1], request.parts[2]
        values = body["values"] | {"name": name}
        version = body.get("expected_version")
        if version is None:
            version = await self._stored_version(entry_key(kind, name))
        elif type(version) is not int:
            raise UsageError("expected_version is a whole number")
        operation_id = body.get("operation_id") or uuid.uuid4().hex
        if not isinstance(operation_id, str):
            raise UsageError("operation_id must be a string")
        edit = await self._build_edit(kind, values, version, operation_id)
        return _accepted_response(await self.catalogue_writer.apply(operator, edit))

    async def _remove_entry(self, request: ApiRequest) -> HttpResponse:
        operator = self.authenticate(request)
        key = _entry_key(request)
        version = request.query.get("expected_version")
        if version is not None and not version.isdecimal():
            raise UsageError("expected_version is a whole number")
        expected = await self._stored_version(key) if version is None else int(version)
        edit = Edit(key=key, entry=None, expected_version=expected)
        return _accepted_response(await self.catalogue_writer.apply(operator, edit))

    async def _show_history(self, request: ApiRequest) -> HttpResponse:
        self.authenticate(request)
        rows = await self.platform.scan(HISTORY_TABLE, f"{_entry_key(request)}/")
        return json_response({"changes": [_change(row) for row in rows]})

    async def _show_version(self, request: ApiRequest) -> HttpResponse:
        self.authenticate(request)
        return json_response({"version": self.configuration.version})

    async def _show_status(self, request: ApiRequest) -> HttpResponse:
        self.authenticate(request)
        status = await self.read_status()
        shown = attrs.asdict(status) | {"in_force": status.in_force}
        age_s = self.configuration.age_s()
        shown["confirmed_s_ago"] = age_s if self.configuration.ready else None
        return json_response(shown)

    async def _build_edit(
        self, kind: str, values: dict[str, Any], version: int, operation_id: str
    ) -> Edit:
        try:
            return Edit.from_values(kind, values, version, operation_id)
        except FindingsError:
            row = await self.platform.read(
                ENTRIES_TABLE, entry_key(kind, values["name"])
            )
            if row is None:
                raise
        stored = load_entry(kind, row.value["values"])
        return Edit.from_values(kind, values, version, operation_id, stored)

    async def _stored_version(self, key: str) -> int:
        row = await self.platform.read(ENTRIES_TABLE, key)
        return 0 if row is None else row.value["version"]


def _entry_key(request: ApiRequest) -> str:
    return entry_key(request.parts[1], request.parts[2])


def _accepted_response(accepted: CommittedEdit) -> HttpResponse:
    return json_response(attrs.asdict(accepted) | {"result": "accepted"})


def _change(row: Row) -> dict[str, object]:
    return dict(row.value) | {"version": int(row.key.rsplit("/", 1)[1])}
