from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.shares import EntryHosts, share_of

exact = settings(derandomize=True, deadline=None, database=None)


@exact
@given(st.integers(0, 100), st.integers(1, 70), st.text(max_size=8))
def test_the_shares_add_up_to_the_total(total, count, item):
    members = [f"e{number}" for number in range(count)]
    shares = [share_of(total, members, member, item) for member in members]
    assert sum(shares) == total
    assert max(shares) - min(shares) <= 1


def test_an_entry_host_counts_itself_even_when_nobody_lists_it():
    alone = EntryHosts("e1", "dc1", {})
    assert alone.near("dc1") == ["e1"]
    assert alone.far("dc1") == []
    assert alone.far("dc2") == ["e1"]
