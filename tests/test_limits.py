import random

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.entries import Service, WorkClass
from rhubarbmount.limits import AdmissionCode, Limiter
from rhubarbmount.service_limits import PoolSlots

exact = settings(derandomize=True, deadline=None, database=None)
ADMITTED, QUEUED = AdmissionCode.ADMITTED, AdmissionCode.QUEUED


def service(name, **changes):
    values = {"owner": "firm", "pool": name, "queue_length": 20, **changes}
    return Service(name=name, **values)


def make_limiter(services, total=100, members=("e1",), **changes):
    limiter = Limiter(total, generator=random.Random(3), **changes)
    limiter.update_services(services, list(members), "e1")
    return limiter


class Callers:
    """Callers that offer requests and record which queued ones were woken.

    Admitted requests take their slot at once, unless ``places_at_once`` is false.
    """

    def __init__(self, limiter, places_at_once=True):
        self.limiter = limiter
        self.places_at_once = places_at_once
        self.woken = []

    def offer(self, name, now_s=0.0, deadline_s=60.0, label=None):
        def wake():
            self.woken.append(label or name)
            self.place(name)

        admission = self.limiter.offer(name, now_s, deadline_s, wake)
        if admission.code is ADMITTED:
            self.place(name)
        return admission

    def place(self, name):
        if self.places_at_once:
            self.limiter.place(name)

    def offer_many(self, name, count, now_s=0.0):
        return [self.offer(name, now_s).code for _ in range(count)]


def test_requests_are_admitted_then_queued_then_refused():
    callers = Callers(make_limiter([service("quotes", concurrency=3, queue_length=2)]))
    codes = callers.offer_many("quotes", 6)
    assert codes == [ADMITTED] * 3 + [QUEUED] * 2 + [AdmissionCode.QUEUE_FULL]
    refusal = callers.offer("quotes")
    assert 1 <= refusal.retry_after_s <= 30


def test_a_freed_slot_goes_to_the_head_of_the_queue():
    callers = Callers(make_limiter([service("quotes", concurrency=1)]))
    callers.offer("quotes")
    for label in ("first", "second"):
        callers.offer("quotes", label=label)
    callers.limiter.finish("quotes", 0.1, 0.1)
    assert callers.woken == ["first"]


def test_limits_are_divided_among_the_live_entry_hosts():
    quotes = service("quotes", concurrency=9)
    limiter = make_limiter([quotes], members=("e1", "e2", "e3"))
    assert limiter.limit_by_service["quotes"].concurrency == 3
    limiter.update_services([quotes], ["e1"], "e1")
    assert limiter.limit_by_service["quotes"].concurrency == 9


def test_a_request_that_can_not_meet_its_deadline_is_refused_at_once():
    limiter = make_limiter([service("quotes", concurrency=1, queue_timeout_ms=9000)])
    callers = Callers(limiter)
    callers.offer("quotes")
    limiter.finish("quotes", 2.0, 2.0)
    callers.offer("quotes", 2.0)
    assert callers.offer("quotes", 2.0, 3.0).code is AdmissionCode.DEADLINE
    assert callers.offer("quotes", 2.0, 9.0).code is QUEUED


def test_an_expired_queued_request_is_not_admitted():
    callers = Callers(make_limiter([service("quotes", concurrency=1)]))
    callers.offer("quotes")
    late = callers.offer("quotes", label="late")
    callers.offer("quotes", 0.9, label="fresh")
    callers.limiter.finish("quotes", 1.5, None)
    assert callers.woken == ["fresh"]
    assert callers.limiter.give_up(late.waiting).code is AdmissionCode.QUEUE_TIMEOUT
    assert callers.limiter.limit_by_service["quotes"].queued == 0


def test_abandoned_requests_are_removed_from_the_queue():
    callers = Callers(make_limiter([service("quotes", concurrency=1)]))
    callers.offer("quotes")
    for _ in range(1000):
        callers.limiter.give_up(callers.offer("quotes").waiting)
    assert len(callers.limiter.limit_by_service["quotes"].queue) == 0


def test_an_overloaded_service_leaves_headroom_for_the_others():
    services = [service(name, concurrency=500) for name in ("flood", "calm")]
    callers = Callers(make_limiter(services))
    callers.offer_many("flood", 1000)
    assert callers.limiter.limit_by_service["flood"].running == 90
    assert callers.offer_many("calm", 10) == [ADMITTED] * 10


def test_queued_services_share_the_total_by_weight():
    services = [
        service("quotes", concurrency=500, queue_length=500),
        service("night", concurrency=500, queue_length=500, work_class=WorkClass.BATCH),
    ]
    callers = Callers(make_limiter(services))
    callers.offer_many("night", 500)
    callers.offer_many("quotes", 500)
    night = callers.limiter.limit_by_service["night"]
    generator = random.Random(1)
    for step in range(400):
        name = "night" if generator.random() * 100 < night.running else "quotes"
        callers.limiter.finish(name, step / 1000, 0.1)
    assert callers.limiter.running == 100
    assert night.running == 20


def test_services_of_one_pool_share_its_slots_by_weight():
    services = [
        service("quotes", concurrency=500, queue_length=500),
        service("night", concurrency=500, queue_length=500, work_class=WorkClass.BATCH),
    ]
    limiter = make_limiter(
        services,
        total=1000,
        pool_slots=lambda name, now_s: PoolSlots(20, 20 - limiter.running),
    )
    callers = Callers(limiter)
    callers.offer_many("night", 400)
    callers.offer_many("quotes", 400)
    night = limiter.limit_by_service["night"]
    generator = random.Random(1)
    for step in range(300):
        name = "night" if generator.random() * 20 < night.running else "quotes"
        limiter.finish(name, step / 1000, 0.1)
    assert limiter.running == 20
    assert night.running == 4


def make_shared_pool_callers(pool_of_quotes="shared"):
    """Return callers of a limiter in which ``parts`` can fill a pool of 20 slots."""
    services = [service("quotes", pool=pool_of_quotes)]
    limits = {"concurrency": 500, "queue_length": 500, "queue_timeout_ms": 60_000}
    services.append(service("parts", pool="shared", **limits))
    limiter = make_limiter(
        services,
        total=1000,
        pool_slots=lambda name, now_s: PoolSlots(
            20, 20 - limiter.limit_by_service["parts"].running
        ),
    )
    return Callers(limiter)


def test_an_overloaded_service_leaves_pool_slots_free_for_an_active_service():
    callers = make_shared_pool_callers()
    assert callers.offer("quotes").code is ADMITTED
    callers.limiter.finish("quotes", 0.0, 0.1)
    callers.offer_many("parts", 100)
    assert callers.limiter.limit_by_service["parts"].running == 17


def test_an_overloaded_service_uses_the_whole_pool_when_no_other_is_active():
    callers = make_shared_pool_callers()
    callers.offer_many("parts", 100)
    assert callers.limiter.limit_by_service["parts"].running == 20


def test_no_slots_are_reserved_for_a_service_of_another_pool():
    callers = make_shared_pool_callers(pool_of_quotes="other")
    assert callers.offer("quotes").code is ADMITTED
    callers.offer_many("parts", 100)
    assert callers.limiter.limit_by_service["parts"].running == 20


def test_reserved_slots_are_used_once_the_other_services_are_inactive():
    callers = make_shared_pool_callers()
    callers.offer("quotes")
    callers.limiter.finish("quotes", 0.0, 0.1)
    callers.offer_many("parts", 100)
    callers.limiter.admit_waiting(9.0)
    assert callers.limiter.limit_by_service["parts"].running == 17
    callers.limiter.admit_waiting(11.0)
    assert callers.limiter.limit_by_service["parts"].running == 20


def test_a_free_slot_admits_one_request_until_that_request_is_placed():
    limiter = make_limiter(
        [service("quotes")], pool_slots=lambda name, now_s: PoolSlots(20, slots["free"])
    )
    slots = {"free": 0}
    callers = Callers(limiter, places_at_once=False)
    callers.offer_many("quotes", 10)
    slots["free"] = 1
    limiter.admit_waiting(0.1)
    limiter.admit_waiting(0.1)
    assert callers.woken == ["quotes"]
    assert callers.offer("quotes", 0.1).code is QUEUED
    slots["free"] = 0
    limiter.place("quotes")
    limiter.admit_waiting(0.2)
    assert callers.woken == ["quotes"]
    slots["free"] = 2
    limiter.admit_waiting(0.3)
    assert callers.woken == ["quotes"] * 3


def test_a_full_pool_blocks_only_its_own_services():
    limiter = make_limiter(
        [service("quotes"), service("parts")],
        pool_slots=lambda name, now_s: PoolSlots(20, 20 if name == "parts" else 0),
    )
    callers = Callers(limiter)
    assert callers.offer("quotes").code is QUEUED
    assert callers.offer("parts").code is ADMITTED


def test_a_requeued_request_is_at_the_head_of_the_queue():
    callers = Callers(make_limiter([service("quotes", concurrency=1)]))
    callers.offer("quotes")
    callers.offer("quotes", label="queued")
    callers.limiter.put_back("quotes", 0.1, 9.0, lambda: callers.woken.append("again"))
    callers.limiter.admit_waiting(0.2)
    assert callers.woken == ["again"]


def test_an_unknown_service_is_refused():
    callers = Callers(make_limiter([service("quotes")]))
    assert callers.offer("parts").code is AdmissionCode.UNKNOWN_SERVICE


@exact
@given(
    st.integers(1, 8),
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "finish", "give up", "put back"]),
            st.sampled_from(["a", "b", "c"]),
            st.floats(0, 0.4),
        ),
        max_size=120,
    ),
)
def test_every_request_is_admitted_or_refused_once_within_the_limits(total, steps):
    services = [service(name, concurrency=3, queue_length=4) for name in "abc"]
    limiter = make_limiter(services, total=total)
    now_s, running, waiting = 0.0, dict.fromkeys("abc", 0), []

    def wake(name):
        running[name] += 1

    for kind, name, pause_s in steps:
        now_s += pause_s
        waiting = [item for item in waiting if not item.admitted]
        if kind == "offer":
            answer = limiter.offer(name, now_s, now_s + 2, lambda n=name: wake(n))
            running[name] += answer.code is ADMITTED
            if answer.waiting is not None:
                waiting.append(answer.waiting)
        elif kind == "finish" and running[name]:
            running[name] -= 1
            limiter.finish(name, now_s, 0.1)
        elif kind == "give up" and waiting:
            limiter.give_up(waiting.pop(0))
        elif kind == "put back" and running[name]:
            running[name] -= 1
            answer = limiter.put_back(name, now_s, now_s + 2, lambda n=name: wake(n))
            if answer.waiting is not None:
                waiting.append(answer.waiting)
        assert limiter.running == sum(running.values()) <= total
        for limit in limiter.limit_by_service.values():
            assert limit.running == running[limit.name] <= 3
            assert 0 <= limit.queued <= len(limit.queue) <= 4 + 3
