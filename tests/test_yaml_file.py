"""YAML files: values, places, and what reading a large one costs."""

import time

import pytest
import yaml

from rhubarbmount.errors import FindingsError
from rhubarbmount.yaml_file import parse_yaml
from tests.deployment import START_TIMEOUT_S

HOSTS = 2600
# A process that starts beside others gets a part of a core.
SHARE_OF_A_CORE = 0.2


def test_a_fleet_of_the_design_size_is_read_well_before_a_start_times_out():
    host = {"pool": "p", "rack": "r", "shape": {"processors": 32, "memory_gb": 64}}
    hosts = [host | {"host_id": f"host-{n}", "slots": 8} for n in range(HOSTS)]
    text = yaml.safe_dump({"hosts": hosts})
    begun_s = time.process_time()
    file = parse_yaml("seed.yaml", text)
    took_s = time.process_time() - begun_s
    assert len(file.values["hosts"]) == HOSTS
    assert took_s < START_TIMEOUT_S * SHARE_OF_A_CORE / 2


def test_values_know_their_lines():
    file = parse_yaml("seed.yaml", "hosts:\n- host_id: a\n- host_id: b\n")
    assert file.values == {"hosts": [{"host_id": "a"}, {"host_id": "b"}]}
    assert file.place(("hosts", 1, "host_id")) == "seed.yaml:3"
    assert file.place(("hosts", 1, "rack")) == "seed.yaml:3"


def test_an_empty_file_has_no_values():
    assert parse_yaml("seed.yaml", "").values is None


@pytest.mark.parametrize("text", ["a: [1", "a: 1\nb: *none\n", "a: 1\n---\nb: 2\n"])
def test_text_that_is_not_yaml_is_refused_with_its_place(text):
    with pytest.raises(FindingsError) as caught:
        parse_yaml("seed.yaml", text)
    assert caught.value.findings[0].place.startswith("seed.yaml:")
