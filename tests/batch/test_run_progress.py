"""Progress of runs, by the clocks of their backend servers."""

from rhubarbmount.batch.run_progress import RunProgress


def test_run_time_is_projected_from_its_start():
    progress = RunProgress()
    progress.start(1000)
    progress.report(20, 1500)
    assert progress.elapsed_s == 0.5
    assert progress.projected_s == 2.5
    assert progress.remaining_s(2.5) == 2.0
    assert progress.is_whole


def test_nothing_is_projected_too_early():
    progress = RunProgress()
    progress.start(1000)
    progress.report(2, 1500)
    assert progress.projected_s is None


def test_a_report_behind_the_last_is_ignored():
    progress = RunProgress()
    progress.start(1000)
    progress.report(40, 1400)
    progress.report(30, 1300)
    assert (progress.percent, progress.read_ms) == (40, 1400)


def test_a_run_seen_under_way_is_projected_from_what_was_seen():
    progress = RunProgress()
    progress.report(50, 9000)
    progress.report(60, 9200)
    assert progress.projected_s == 2.0
    assert not progress.is_whole


def test_an_acknowledgement_read_after_a_list_dates_the_start():
    progress = RunProgress()
    progress.report(10, 1100)
    progress.start(1000)
    assert progress.elapsed_s == 0.1
    assert progress.projected_s == 1.0
    assert progress.percent == 10


def test_unchanged_time_counts_from_the_last_change():
    progress = RunProgress()
    progress.start(1000)
    progress.report(10, 1100)
    progress.report(10, 2300)
    assert progress.unchanged_s == 1.2
