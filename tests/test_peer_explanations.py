"""Questions to the other entry hosts, and their bounded answers."""

import trio

from rhubarbmount.decisions import Decision, Explanation
from rhubarbmount.peer_explanations import (
    BODY_LIMIT_BYTES,
    ask_peers,
    decode_body,
    encode_body,
)
from rhubarbmount.peer_messages import (
    ExplainReply,
    ExplainRequest,
    decode_message,
    encode_message,
)

NAMES = {"10.0.0.2:8083": "e2", "10.0.0.3:8083": "e3"}


def explanation(*codes, reason=""):
    decisions = [
        Decision(kind="job", subject_id="j1", code=code, time_s=float(n), reason=reason)
        for n, code in enumerate(codes)
    ]
    return Explanation("job", "j1", tuple(decisions))


class Peers:
    """Peers that answer by address, or never."""

    def __init__(self, bodies):
        self.bodies = bodies

    async def ask(self, address, kind, subject_id):
        if address not in self.bodies:
            await trio.sleep_forever()
        return ExplainReply(1, NAMES[address], self.bodies[address])


async def ask(bodies):
    return await ask_peers(Peers(bodies).ask, NAMES, "job", "j1")


async def test_all_answers_are_found(autojump_clock):
    answers = await ask({a: encode_body(explanation("wait")) for a in NAMES})
    assert (answers.answered, answers.silent) == (["e2", "e3"], [])
    assert [found.decisions[0].code for found in answers.found] == ["wait", "wait"]


async def test_a_silent_peer_is_named_and_the_answer_comes_in_time(autojump_clock):
    started_s = trio.current_time()
    answers = await ask({"10.0.0.2:8083": encode_body(explanation("wait"))})
    assert trio.current_time() - started_s <= 1.0
    assert (answers.answered, answers.silent) == (["e2"], ["e3"])
    assert len(answers.found) == 1


async def test_a_peer_reached_at_one_of_two_addresses_is_not_silent(autojump_clock):
    body = encode_body(explanation("wait"))
    names = {"old:1": "e2"} | NAMES
    answers = await ask_peers(Peers(dict.fromkeys(NAMES, body)).ask, names, "job", "j1")
    assert answers.silent == []


async def test_a_damaged_answer_harms_no_other(autojump_clock):
    good = encode_body(explanation("wait"))
    for bad in (
        b"",
        b"\xc1",
        b"\x01",
        b"\x80",
        encode_message(ExplainRequest(1, "", "")),
    ):
        answers = await ask({"10.0.0.2:8083": bad, "10.0.0.3:8083": good})
        assert len(answers.found) == 1
        assert answers.answered == ["e2", "e3"]


def test_a_long_answer_is_cut_from_the_oldest():
    long = explanation(*map(str, range(300)), reason="x" * 190)
    body = encode_body(long)
    assert len(body) <= BODY_LIMIT_BYTES
    kept = decode_body(body).decisions
    assert kept == long.decisions[-len(kept) :]
    assert len(kept) > 30


def test_messages_come_back_as_they_were_sent():
    for message in (ExplainRequest(3, "host", "h1"), ExplainReply(3, "e1", b"body")):
        assert decode_message(encode_message(message)) == message
