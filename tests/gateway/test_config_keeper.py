from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.config_keeper import ConfigKeeper
from tests.fakes import FakeClock
from tests.gateway.live_gateway import config_body


def keeper_with_changes():
    changes = []
    return ConfigKeeper(FakeClock(), changes.append), changes


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.integers(1, 9), max_size=20))
def test_versions_only_go_forward_whatever_the_order(versions):
    keeper, changes = keeper_with_changes()
    highest = 0
    for version in versions:
        keeper.take(config_body(version), "store")
        highest = max(highest, version)
        assert keeper.site.version == highest
    told = [site.version for site in changes]
    assert told == sorted(set(told))


def test_a_configuration_that_cannot_be_read_leaves_the_old_one_in_force():
    keeper, changes = keeper_with_changes()
    keeper.take(config_body(3), "store")
    for body in (None, [], {"version": "x"}, {"version": 4, "routes": 7}):
        keeper.take(body, "store")
    assert keeper.site.version == 3
    assert len(changes) == 1


def test_another_router_takes_in_what_this_one_has_in_force():
    keeper, _ = keeper_with_changes()
    assert keeper.document() is None
    keeper.take(config_body(3), "store")
    other, changes = keeper_with_changes()
    other.take_document(keeper.document(), "a")
    assert other.site.version == 3
    assert [site.version for site in changes] == [3]
