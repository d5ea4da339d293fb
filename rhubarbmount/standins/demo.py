"""The demo: a small fleet in one process, put to work, and a table of what it kept."""

from collections.abc import Callable

import attrs
import trio

from rhubarbmount.operator_client import format_table
from rhubarbmount.standins.demo_calls import DemoCaller, DemoOperator
from rhubarbmount.standins.demo_fleet import DemoFleet, open_fleet

__all__ = ["run_demo"]

CALLERS = 4
LOAD_S = 2.0
IN_FORCE_LIMIT_S = 5.0
MOVE_LIMIT_S = 30.0
WAVE_LIMIT_S = 120.0


@attrs.frozen
class Line:
    """One promise, what was seen of it, and whether it held."""

    promise: str
    seen: str
    kept: bool

    def row(self) -> dict[str, str]:
        """Return the cells of the table."""
        verdict = "kept" if self.kept else "BROKEN"
        return {"promise": self.promise, "seen": self.seen, "verdict": verdict}


async def run_demo(keep: bool) -> int:
    """Run the demo; return 0 if every promise held."""
    async with open_fleet() as fleet:
        print("3 entry hosts in 2 data centres, 8 backend servers of 2 services")
        callers = [DemoCaller(fleet, number) for number in range(CALLERS)]
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(caller.run)
            lines = await _operate(fleet)
            for caller in callers:
                caller.stopped = True
        lines += _check_callers(fleet, callers)
        print(format_table([line.row() for line in lines], list(lines[0].row())))
        if keep:
            await _keep(fleet)
    return 0 if all(line.kept for line in lines) else 1


async def _operate(fleet: DemoFleet) -> list[Line]:
    operator = DemoOperator(fleet)
    await trio.sleep(LOAD_S)
    lines = [
        await _change_configuration(fleet, operator),
        await _move_host(fleet, operator),
        *await _run_wave(fleet, operator),
    ]
    await trio.sleep(LOAD_S)
    return lines


async def _change_configuration(fleet: DemoFleet, operator: DemoOperator) -> Line:
    version = await operator.set_concurrency("quotes", 48)
    started_s = trio.current_time()
    held = await _wait(
        lambda: all(
            host.configuration.version >= version for host in fleet.entry_hosts
        ),
        IN_FORCE_LIMIT_S,
    )
    took_s = trio.current_time() - started_s
    seen = f"version {version} in force at 3 of 3 after {took_s:.2f} s"
    return Line("an accepted change is in force within 5 s", seen, held)


async def _move_host(fleet: DemoFleet, operator: DemoOperator) -> Line:
    await operator.move("quotes-4", "lodgements")
    held = await _wait(
        lambda: (
            fleet.pools_of("quotes-4") == ["lodgements"]
            and fleet.in_service("quotes-4")
        ),
        MOVE_LIMIT_S,
    )
    seen = f"quotes-4 is in {', '.join(fleet.pools_of('quotes-4'))}"
    broken = fleet.watch.pools_broken
    return Line("each host is in exactly one pool", seen, held and not broken)


async def _run_wave(fleet: DemoFleet, operator: DemoOperator) -> list[Line]:
    wanted = len(fleet.platform.memory.hosts)
    await operator.start_wave()
    started_s = trio.current_time()
    done = await _wait(lambda: len(fleet.watch.rebooted) >= wanted, WAVE_LIMIT_S)
    done = done and await _wait(fleet.all_in_service, WAVE_LIMIT_S)
    took_s = trio.current_time() - started_s
    rebooted = len(fleet.watch.rebooted)
    most = max(fleet.watch.most_down_by_pool.values(), default=0)
    return [
        Line("a wave maintains every host", f"{rebooted} in {took_s:.0f} s", done),
        Line(
            "every pool's budget of 1 host down holds",
            f"at most {most} down at once",
            most <= 1,
        ),
    ]


def _check_callers(fleet: DemoFleet, callers: list[DemoCaller]) -> list[Line]:
    answers = [answer for caller in callers for answer in caller.answers]
    cut = sum(answer.outcome == "" for answer in answers)
    foreign = sum(not answer.is_own for answer in answers if answer.status == 200)
    ran = fleet.runs_by_request()
    doubled = sum(count > 1 for count in ran.values())
    false = sum(
        answer.outcome == "not-run" and answer.request_id in ran for answer in answers
    )
    lost = sum(
        answer.outcome == "ran" and answer.request_id not in ran for answer in answers
    )
    total = len(answers)
    whole = sum(answer.status == 200 for answer in answers)
    return [
        Line(
            "callers get whole answers of their own", f"{whole} of {total}", not foreign
        ),
        Line("nobody is cut off", f"{cut} cut of {total}", not cut),
        Line("a lodgement runs at most once", f"{doubled} doubled", not doubled),
        Line("what ran is said to have run", f"{lost} lost", not lost),
        Line("what was said not to have run did not", f"{false} false", not false),
    ]


async def _wait(condition: Callable[[], bool], limit_s: float) -> bool:
    with trio.move_on_after(limit_s):
        while not condition():
            await trio.sleep(0.02)
        return True
    return False


async def _keep(fleet: DemoFleet) -> None:
    host = fleet.entry_hosts[0]
    callers = f"127.0.0.1:{host.callers.port}"
    operators = f"127.0.0.1:{host.operators.port}"
    print("Running until interrupted. To try:")
    print(f"  curl -i -d accounts -H 'Idempotency-Key: k1' {callers}/lodgements/1")
    print(f"  export RHUBARBMOUNT_ADDRESS={operators} RHUBARBMOUNT_TOKEN={fleet.token}")
    print("  rhubarbmount hosts list")
    print("  rhubarbmount maintain start")
    await trio.sleep_forever()
