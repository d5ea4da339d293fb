"""Claims under random sequences of requests and faults: one run, no false denial."""

import attrs
import pytest
import trio
from hypothesis import HealthCheck, Phase, find, given, settings
from hypothesis import strategies as st

from bench.claims_ways import SERVICE, ways
from bench.claims_world import Request, World, run_seeded

KEYS = ("k1", "k2")
HOSTS = 4
EXAMPLES = 400

sends = st.tuples(st.just("send"), st.sampled_from(KEYS), st.integers(0, HOSTS - 1))
host_faults = st.tuples(
    st.sampled_from(("pause", "resume", "replace")), st.integers(0, HOSTS - 1)
)
platform_faults = st.tuples(
    st.sampled_from(
        ("outage", "cut", "lost-answer", "lost-call", "late-effect", "heal")
    )
)
waits = st.tuples(st.just("wait"), st.sampled_from((0.0, 0.003, 0.01, 0.1, 1.0, 6.0)))
steps = st.lists(
    st.one_of(sends, sends, host_faults, platform_faults, waits), max_size=40
)


class Machine:
    """Executes the steps on a simulated set of entry hosts."""

    def __init__(self, world, nursery, make_key):
        self.world = world
        self.nursery = nursery
        self.make_key = make_key
        self.issued = {}

    async def step(self, name, *args):
        await getattr(self, name.replace("-", "_"))(*args)
        self.world.apply_outage()

    async def send(self, lodgement, index):
        host = self.world.hosts[index]
        if lodgement not in self.issued:
            if host.is_paused:
                return
            self.issued[lodgement] = await self.make_key(host, lodgement)
        self.nursery.start_soon(self._send, host, lodgement)

    async def _send(self, host, lodgement):
        deadline_s = trio.current_time() + 2.0
        request = Request(lodgement, self.issued[lodgement], deadline_s)
        self.world.ledger.tell(lodgement, await host.ask(request))

    async def pause(self, index):
        self.world.hosts[index].pause()

    async def resume(self, index):
        self.world.hosts[index].resume()

    async def replace(self, index):
        host = self.world.hosts[index]
        host.kill()
        await self.world.add_host(host.data_centre)

    async def outage(self):
        self.world.platform_is_out = True

    async def cut(self):
        self.world.cut_off.add(self.world.data_centres[0])

    async def lost_answer(self):
        self.world.lost_answer_share = 0.5

    async def lost_call(self):
        self.world.lost_call_share = 0.3

    async def late_effect(self):
        self.world.late_effect_share = 0.2

    async def heal(self):
        self.world.platform_is_out = False
        self.world.cut_off.clear()
        self.world.lost_answer_share = 0.0
        self.world.lost_call_share = 0.0
        self.world.late_effect_share = 0.0

    async def wait(self, seconds):
        await trio.sleep(seconds)


async def run_script(way, script):
    """Run the script until all its effects have ended and return the ledger."""
    async with trio.open_nursery() as processes:
        world = World(processes, way.handle, 1, ("east", "west"))
        world.not_run_share = world.run_lost_share = 0.2
        await world.start()
        async with trio.open_nursery() as nursery:
            machine = Machine(world, nursery, way.make_key)
            for step in script:
                await machine.step(*step)
            await machine.step("heal")
            for host in world.hosts:
                host.resume()
            await trio.sleep(10.0)
        processes.cancel_scope.cancel()
    return world.ledger


bounded = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=EXAMPLES,
    suppress_health_check=[HealthCheck.too_slow],
)


async def issue_key(host, lodgement):
    """Return an issued key, whether or not the host has detected the outage."""
    return host.claims.home.issue(SERVICE)


OFFERED = {
    "refuse": ways.get("refuse"),
    "home": attrs.evolve(ways.get("home"), make_key=issue_key),
    "home-alone": attrs.evolve(ways.get("home-alone"), make_key=issue_key),
}


@pytest.mark.parametrize("name", OFFERED)
@bounded
@given(script=steps)
def test_each_key_runs_once_and_is_never_falsely_denied(name, script):
    ledger = run_seeded(run_script, OFFERED[name], script)
    assert ledger.doubled == 0
    assert not ledger.falsely_denied


@pytest.mark.parametrize("name", ["unprotected", "memory-anywhere", "memory-at-home"])
def test_such_scripts_double_a_run_with_the_ways_that_are_not_offered(name):
    def doubles(script):
        return run_seeded(run_script, ways.get(name), script).doubled

    assert find(steps, doubles, settings=settings(bounded, phases=[Phase.generate]))
