"""Whole answers, and nobody cut by a planned stop."""

from pytest_bdd import given, parsers, scenarios, then, when

from tests.deployment import wait_until
from tests.load import BalancedLoad
from tests.scenarios.steps import names
from tests.scenarios.steps.processes import check_ready

scenarios("whole_answer.feature", "planned_stop.feature")

when(parsers.parse('within {bound_s:g} s entry host "{name}" is ready'))(check_ready)


@given(
    parsers.parse(
        'callers for "{service}" behind a balancer that checks "{hosts}" '
        "each {period_s:g} s"
    )
)
def start_balanced_load(deployment, load, service, hosts, period_s):
    load.append(BalancedLoad(deployment, service, names(hosts), period_s))
    load[0].__enter__()


@when(
    parsers.parse(
        'within {bound_s:g} s entry host "{name}" holds the duties "{duties}"'
    )
)
@then(
    parsers.parse(
        'within {bound_s:g} s entry host "{name}" holds the duties "{duties}"'
    )
)
def check_holder(deployment, bound_s, name, duties):
    def held():
        rows = [deployment.read_row("leases", duty) for duty in names(duties)]
        holders = [row.get("value", {}).get("holder", "") for row in rows]
        return all(holder.startswith(f"{name}/") for holder in holders)

    wait_until(held, bound_s, f"{name} holds {duties}")
