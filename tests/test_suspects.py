"""Poison jobs are distinguished from bad hosts."""

from rhubarbmount.suspects import BACKOFF_S, Suspects, TaskOutcome


def run(suspects, *outcomes):
    """Record each (job, owner, host, failed) outcome in order, one second apart."""
    for second, (job_id, owner, host_id, failed) in enumerate(outcomes):
        suspects.observe(TaskOutcome(job_id, owner, host_id, failed, float(second)))


def test_a_host_that_fails_jobs_of_several_owners_is_suspect():
    suspects = Suspects()
    run(
        suspects,
        ("j1", "a", "bad", True),
        ("j2", "b", "bad", True),
        ("j3", "a", "bad", True),
    )
    blame = suspects.judge_host("bad", 10.0)
    assert (blame.code, blame.reason) == (
        "host-suspect",
        "failed 3 jobs of 2 teams, ran 0",
    )


def test_failing_jobs_of_one_owner_do_not_make_a_host_suspect():
    suspects = Suspects()
    run(suspects, *[(f"j{n}", "a", "h", True) for n in range(20)])
    assert suspects.judge_host("h", 30.0) is None


def test_old_failures_are_forgotten():
    suspects = Suspects()
    run(suspects, *[(f"j{n}", f"team{n}", "h", True) for n in range(3)])
    assert suspects.judge_host("h", 3.0) is not None
    assert suspects.judge_host("h", 10_000.0) is None


def test_a_job_that_fails_on_hosts_that_run_others_is_poison():
    suspects = Suspects()
    for number in range(3):
        run(
            suspects,
            (f"good{number}", "b", f"h{number}", False),
            ("poison", "a", f"h{number}", True),
        )
    assert suspects.judge_job("poison", 10.0).code == "job-poison"
    assert all(suspects.judge_host(f"h{n}", 10.0) is None for n in range(3))


def test_poison_jobs_of_several_owners_do_not_condemn_the_hosts_they_cross():
    suspects = Suspects()
    for number in range(4):
        host = f"h{number}"
        run(
            suspects,
            *[(f"good{number}{n}", "b", host, False) for n in range(2)],
            *[(f"poison{n}", f"team{n}", host, True) for n in range(4)],
        )
    assert all(suspects.judge_host(f"h{n}", 10.0) is None for n in range(4))
    assert all(suspects.judge_job(f"poison{n}", 10.0) for n in range(4))


def test_a_good_job_that_met_bad_workers_is_not_held():
    suspects = Suspects()
    for number in range(3):
        bad = f"bad{number}"
        run(
            suspects,
            *[(f"j{number}{n}", f"team{n}", bad, True) for n in range(3)],
            ("unlucky", "a", bad, True),
        )
    assert suspects.judge_job("unlucky", 10.0) is None
    assert all(suspects.judge_host(f"bad{n}", 10.0) for n in range(3))


def test_a_job_is_held_after_six_failures_whatever_the_cause():
    suspects = Suspects()
    run(suspects, *[("j", "a", "only", True)] * 6)
    assert suspects.judge_job("j", 10.0).code == "job-failures"


def test_a_success_clears_the_job():
    suspects = Suspects()
    run(suspects, *[("j", "a", "only", True)] * 5, ("j", "a", "other", False))
    run(suspects, ("j", "a", "only", True))
    assert suspects.judge_job("j", 10.0) is None


def test_a_host_that_fails_every_task_is_avoided_longer_each_time():
    suspects = Suspects()
    assert suspects.avoid_until_s("h") == 0.0
    run(suspects, ("j0", "a", "h", True), ("j1", "a", "h", True))
    assert suspects.avoid_until_s("h") == 1.0 + BACKOFF_S
    run(suspects, ("j2", "a", "h", True))
    assert suspects.avoid_until_s("h") == 1.0 + 2 * BACKOFF_S
    run(suspects, ("j3", "a", "h", False))
    assert suspects.avoid_until_s("h") == 0.0
