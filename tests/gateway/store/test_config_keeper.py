from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.site import RouteKind
from banyansail.gateway.store.config_keeper import ConfigKeeper
from banyansail.wire.call_types import Document
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
        keeper.apply(config_body(version), "store")
        highest = max(highest, version)
        assert keeper.site.version == highest
    applied_versions = [site.version for site in changes]
    assert applied_versions == sorted(set(applied_versions))


def test_an_undecodable_configuration_leaves_the_old_one_active():
    keeper, changes = keeper_with_changes()
    keeper.apply(config_body(3), "store")
    for body in (None, [], {"version": "x"}, {"version": 4, "routes": 7}):
        keeper.apply(body, "store")
    assert keeper.site.version == 3
    assert len(changes) == 1


def test_another_router_applies_the_document_of_the_active_configuration():
    keeper, _ = keeper_with_changes()
    assert keeper.document() is None
    keeper.apply(config_body(3), "store")
    other, changes = keeper_with_changes()
    other.apply_document(keeper.document(), "a")
    assert other.site.version == 3
    assert [site.version for site in changes] == [3]


def test_a_route_of_an_unknown_type_runs_a_request_at_most_once():
    """Guards against a configuration that is refused for one route of a newer kind."""
    keeper = ConfigKeeper(FakeClock(), lambda site: None)
    body = config_body(version=3, more={"of": "a newer build"})
    body["routes"][0]["routeType"] = "replicated"
    keeper.apply(body, "store")
    assert keeper.site.version == 3
    kinds = {route.name: route.kind for route in keeper.site.routes()}
    assert kinds["stock"] is RouteKind.ONCE
    assert kinds["draft"] is RouteKind.STREAM


def test_a_document_that_is_not_json_changes_nothing():
    keeper = ConfigKeeper(FakeClock(), lambda site: None)
    keeper.apply_document(Document(9, "<config/>"), "front-2")
    assert keeper.site.version == 0
