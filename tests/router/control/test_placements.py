"""Duties of the placement controller, without a platform."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from banyansail.router.control.placements import PlacementController
from tests.fakes import FakeClock, run_now


class FakeLease:
    def __init__(self):
        self.is_held = False

    async def acquire(self):
        self.is_held = True

    async def release(self):
        self.is_held = False


class Controller(PlacementController):
    def __init__(self):
        duties = SimpleNamespace(owner_of=lambda duty: None)  # this router
        super().__init__("r0", FakeClock(), None, duties, None, None)
        self.lease_by_service = {}

    def _new_lease(self, service):
        return self.lease_by_service.setdefault(service, FakeLease())


def rules(*services):
    return SimpleNamespace(placement_by_service=dict.fromkeys(services))


@pytest.fixture
def controller():
    return Controller()


def test_the_lease_of_a_service_that_is_not_placed_any_more_is_released(controller):
    controller.apply_rules(rules("drafts", "tags"))
    run_now(controller.reconcile())
    assert all(lease.is_held for lease in controller.lease_by_service.values())
    controller.apply_rules(rules("tags"))
    run_now(controller.reconcile())
    assert not controller.lease_by_service["drafts"].is_held
    assert controller.lease_by_service["tags"].is_held
