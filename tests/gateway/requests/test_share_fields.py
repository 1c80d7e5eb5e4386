"""What operators see of the fair order: log fields, `explain` and metrics."""

from __future__ import annotations

from random import Random

from banyansail.commands.explain import LogLine, format_line
from banyansail.gateway.decisions.queue.work_shares import ShareUse
from banyansail.gateway.metrics import GatewayMetrics
from banyansail.gateway.requests.share_fields import share_fields
from tests.gateway.builders import seconds
from tests.gateway.decisions.upstreams.played_fleet import PlayedFleet


def test_a_rejection_by_share_says_whose_share_was_used():
    """Guards against a rejection that an operator can't attribute to a workspace."""
    fleet = PlayedFleet(1, 1)
    fleet.play(8, {"busy": 300, "calm": 20})
    dispatcher = fleet.routers[0]
    state = dispatcher.state("depot")
    entry = next(
        item for item in state.waiting.entries() if item.ticket.workspace == "busy"
    )
    rejection = dispatcher._admission._share_rejection(state, entry.ticket, seconds(0))
    assert rejection.status == 503
    assert "workspace busy used 0." in rejection.detail
    assert seconds(0.1) <= rejection.retry_after <= seconds(7.5)
    fields = {
        "decision": "reject",
        "reason": rejection.detail,
        **share_fields(rejection.share),
    }
    line = format_line(LogLine(0.0, "r1", "a1", fields))
    assert "workspace=busy" in line
    assert "work_share=0.5" in line
    assert "fleet_age_ms=" in line


def test_no_fields_are_logged_outside_of_the_fair_order():
    assert share_fields(None) == {}


def test_the_metrics_show_share_use_and_wait_of_a_workspace():
    metrics = GatewayMetrics()
    metrics.set_shares("depot", [ShareUse("w", 0.75, 0.5, None)])
    metrics.observe_wait("depot", "w", seconds(0.3))
    text = metrics.render().decode()
    labels = '{service="depot",workspace="w"}'
    assert f"banyansail_workspace_share{labels} 0.5" in text
    assert f"banyansail_workspace_use{labels} 0.75" in text
    assert f"banyansail_workspace_wait_seconds_count{labels} 1.0" in text


def test_a_repeat_of_a_rejected_request_goes_behind_first_tries():
    """Guards against callers that gain by repeating at once."""
    fleet = PlayedFleet(1, Random(1).randrange(9))
    fleet.play(4, {"busy": 300, "calm": 20})
    dispatcher = fleet.routers[0]
    state = dispatcher.state("depot")
    entry = next(
        item for item in state.waiting.entries() if item.ticket.workspace == "busy"
    )
    entry.ticket.fingerprint = 7
    rejection = dispatcher._admission._share_rejection(state, entry.ticket, seconds(0))
    dispatcher._admission.reject(state, entry, rejection)
    dispatcher.fair.prepare_to_wait(entry.ticket)
    assert entry.ticket.is_repeat
