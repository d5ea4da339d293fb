"""Steps about callers that send requests all the time."""

from collections import Counter

from pytest_bdd import given, parsers, then, when

from tests.checkers import cut_requests, violations
from tests.deployment import wait_until
from tests.load import Load
from tests.resend import Resenders
from tests.scenarios.steps import names


@given(parsers.parse('callers sending lodgements for "{service}" to "{hosts}"'))
def start_load(deployment, load, service, hosts):
    load.append(Load(deployment, service, names(hosts)))
    load[0].__enter__()
    wait_until(lambda: len(load[0].answer_by_id) > 20, 10, "20 answers")


@given(parsers.parse('callers reading from "{service}" at "{hosts}"'))
def start_readers(deployment, load, service, hosts):
    load.append(Load(deployment, service, names(hosts), method="GET"))
    load[0].__enter__()
    wait_until(lambda: len(load[0].answer_by_id) > 20, 10, "20 answers")


@when(parsers.parse("{count:d} more answers have come"))
def wait_for_answers(load, count):
    wanted = len(load[0].answer_by_id) + count
    wait_until(lambda: len(load[0].answer_by_id) >= wanted, 20, f"{count} answers")


@when("the callers stop")
def stop_load(load):
    load[0].stop()


@then("no promise to the callers was broken")
def check_promises(deployment, load):
    load[0].stop()
    runs = deployment.runs_by_id()
    assert violations(load[0].answer_by_id, runs) == []


@then("no caller was refused")
def check_all_ran(load):
    load[0].stop()
    answers = load[0].answer_by_id.values()
    refusals = [answer.body for answer in answers if answer.outcome != "ran"]
    assert refusals == [], Counter(refusals)


@then("no caller was cut off")
def check_not_cut(load):
    assert cut_requests(load[0].answer_by_id) == []


@then(parsers.parse("at least {count:d} requests were answered with outcome {outcome}"))
def check_count(load, count, outcome):
    outcomes = [answer.outcome for answer in load[0].answer_by_id.values()]
    assert outcomes.count(outcome) >= count, Counter(outcomes)


@when(
    parsers.parse(
        'callers send {count:d} lodgements for "{service}" to "{hosts}" until they have'
        " run"
    )
)
def start_resenders(deployment, resenders, count, service, hosts):
    resenders.append(Resenders(deployment, service, names(hosts), count))


@when(parsers.parse("{count:d} lodgements were told to have run"))
def wait_for_runs(resenders, count):
    what = f"{count} lodgements told to have run"
    wait_until(lambda: len(resenders[0].told_ran()) >= count, 30, what)


@when("the callers have given up or were told that all has run")
def join_resenders(resenders):
    resenders[0].join()


@then("no lodgement ran twice and none was falsely told to have run")
def check_runs_of_all(deployment, resenders):
    assert resenders[0].violations(deployment.runs_by_id()) == []


@then(parsers.parse("at least {count:d} lodgements were told to have run in the end"))
def check_told_ran(resenders, count):
    assert len(resenders[0].told_ran()) >= count
