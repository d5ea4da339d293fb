"""A short run of the soak over processes, with a fixed seed."""

import pytest

from tests.batch.soak import run_soak

SECONDS = 15.0
SEED = 11


@pytest.mark.scenario
async def test_random_faults_neither_lose_nor_repeat_work(tmp_path):
    found, starts = await run_soak(tmp_path, SECONDS, SEED)
    assert found == []
    assert starts > 6
