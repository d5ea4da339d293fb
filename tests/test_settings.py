"""Faults in settings files are reported together, each with its place."""

from rhubarbmount.settings import check_settings
from rhubarbmount.yaml_file import parse_yaml

GOOD = """\
instance: e1
data_centre: dc-a
callers: {address: 127.0.0.1, port: 8080}
operators: {address: 127.0.0.1, port: 8081}
metrics: {address: 127.0.0.1, port: 8082}
"""


def findings(text):
    settings, found = check_settings(parse_yaml("s.yaml", text))
    return settings, [(finding.place, finding.code) for finding in found]


def test_good_settings_have_no_findings():
    settings, found = findings(GOOD)
    assert settings.callers.port == 8080
    assert found == []


def test_every_fault_is_found_with_its_line():
    text = GOOD.replace("data_centre: dc-a", "data_center: dc-a")
    text += "stop_timeout_ms: 5000\nplatform:\n  timeout_s: 2s\n  adaptor: http\n"
    _settings, found = findings(text)
    assert sorted(found) == [
        ("s.yaml:1", "missing-key"),
        ("s.yaml:2", "unknown-key"),
        ("s.yaml:6", "unknown-key"),
        ("s.yaml:8", "wrong-type"),
        ("s.yaml:9", "unknown-key"),
    ]


def test_values_out_of_range_are_found():
    text = GOOD.replace("8080", "80800") + "stop_timeout_s: 0\nlog: {level: loud}\n"
    text += "stop_notice_s: -1\n"
    _settings, found = findings(text)
    assert found == [
        ("s.yaml:3", "bad-value"),
        ("s.yaml:6", "bad-value"),
        ("s.yaml:8", "bad-value"),
        ("s.yaml:7", "bad-value"),
    ]


def test_peer_keys_are_checked():
    text = GOOD + "peers: {address: 127.0.0.1, port: 8083, public_key: short}\n"
    _settings, found = findings(text)
    assert found == [("s.yaml:6", "bad-value"), ("s.yaml:6", "bad-value")]


def test_the_peers_port_is_checked():
    text = GOOD + "peers: {address: 127.0.0.1, port: 70000, public_key: short}\n"
    _settings, found = findings(text)
    assert found == [("s.yaml:6", "bad-value")] * 3
