"""Share of requests in time before engines of speeds 1 and 0.5, with passing noise.

Guards against routers that all choose the same engine after reading the same report,
and against engines whose slots count alike though their speeds differ.
"""

from __future__ import annotations

import pytest

from tests.gateway.decisions.upstreams.uneven_load import (
    by_choice,
    by_least_requests,
    by_oracle,
    by_round_robin,
    by_two_choices,
    mean_share,
)

# Orders of replicas keep the share of prefill in an engine's time near this.
UTILISATION = 0.3
MAX_LOSS = 0.03


@pytest.mark.parametrize("routers", [1, 9, 77])
def test_choices_are_near_an_oracle(routers):
    options = {"utilisation": UTILISATION}
    share = mean_share(by_choice, routers, **options)
    assert share >= mean_share(by_oracle, routers, **options) - MAX_LOSS


@pytest.mark.parametrize("routers", [1, 9, 77])
def test_choices_are_better_than_simple_ones(routers):
    options = {"utilisation": UTILISATION}
    share = mean_share(by_choice, routers, **options)
    for pick in (by_round_robin, by_least_requests, by_two_choices):
        assert share > mean_share(pick, routers, is_active=False, **options)
    assert share > mean_share(by_choice, routers, is_active=False, **options)


@pytest.mark.parametrize("routers", [9, 77])
def test_overloaded_routers_do_not_all_choose_the_same_engine(routers):
    """At most of the capacity the best reported engine would get the work of all."""
    options = {"utilisation": 0.7}
    share = mean_share(by_choice, routers, **options)
    assert share > mean_share(by_choice, routers, is_active=False, **options) + 0.2


@pytest.mark.parametrize(
    "options",
    [
        {"report_loss": 0.3},
        {"cut_off": 3},
        {"restart_at_s": 12.0},
        {"replace_at_s": 12.0},
        {"slow": 1.0},
    ],
    ids=["reports lost", "routers cut off", "restart", "engines replaced", "equal"],
)
def test_faults_leave_choices_better_than_before(options):
    options = {"utilisation": UTILISATION, **options}
    share = mean_share(by_choice, 9, **options)
    assert share >= mean_share(by_oracle, 9, **options) - 0.05
    assert share >= mean_share(by_choice, 9, is_active=False, **options)
