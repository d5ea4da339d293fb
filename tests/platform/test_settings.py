"""Decoding of the settings file of a process."""

import pytest

from rhubarbmount.errors import FindingsError, UsageError
from rhubarbmount.platform.settings import read_settings

TEXT = """
node_id = "n1"
ip = "10.1.0.9"
zone = "a"
port_range = [7060, 7075]
advice = "10.200.1.9:8621"
some_new_field = 3
[listen]
frontend = "10.1.0.9:8624"
ready = "10.1.0.9:8622"
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 6
hold_max_ms = 10000
early_ms = 250
status_s = 120
visible_ms = 3000
lease_ms = 3000
migrate_s = 1.5
notice_ms = 4500
checkpoint_s = 1
remote_factor = 3
[platform]
addr = "10.200.1.7:8621"
row_bytes = 65536
[cloud_api]
addr = "10.200.0.107:8621"
"""


def write(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text, encoding="utf-8")
    return path


def test_read_settings_ignores_unknown_fields(tmp_path):
    settings = read_settings(write(tmp_path, TEXT))
    assert settings.node_id == "n1"
    assert settings.store_address == "10.200.1.7:8621"
    assert settings.bounds.max_lease_s == 10.0
    assert settings.bounds.grace_s == 6.0


def test_all_invalid_values_are_reported_with_their_paths(tmp_path):
    text = TEXT.replace('node_id = "n1"', "node_id = 1")
    text = text.replace("drain_ms = 2000", 'drain_ms = "long"')
    text = text.replace('"10.1.0.9:8624"', '"10.1.0.9"')
    with pytest.raises(FindingsError) as caught:
        read_settings(write(tmp_path, text))
    places = {finding.place for finding in caught.value.findings}
    assert places == {"node_id", "bounds.drain_ms", "listen.frontend"}


def test_advice_address_is_optional(tmp_path):
    text = TEXT.replace('advice = "10.200.1.9:8621"', "")
    assert read_settings(write(tmp_path, text)).advice_address == ""


def test_invalid_or_missing_file_raises_usage_error(tmp_path):
    with pytest.raises(UsageError):
        read_settings(write(tmp_path, "{"))
    with pytest.raises(UsageError):
        read_settings(tmp_path / "missing.toml")
