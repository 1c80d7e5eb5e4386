from __future__ import annotations

from pathlib import Path

import pytest
import yaml

from banyansail.config.fields import Address
from banyansail.config.gateway_settings import (
    FIELD_AND_PARSER_BY_SETTING,
    load_gateway_settings,
    parse_gateway_settings,
)
from banyansail.exceptions import ConfigError

ROOT = Path(__file__).parents[2]
VALID = """\
name: front-1
zone: glasgow
region: scotland
listen: 10.0.0.1:80
ready: 10.0.0.1:81
peer: 10.0.0.1:82
relay: 10.0.0.1:84
metrics: 10.0.0.1:83
seeds: ["10.0.0.1:99", "10.0.0.2:99"]
store: 10.0.1.1:80
cloud: 10.0.1.2:80
shared_key: banyansail-fleet
grace_s: 8
retry_ratio: 0.2
retry_slack: 58
retry_window_s: 10
quota_slack: 190000
usage_window_s: 5
usage_late_s: 10
lease_ms: 3000
expose_share: 0.1
expose_slack: 50
store_watchers: 3
evacuate_ms: 5000
drain_ms: 2000
first_start: true
cold_over: 1.5
cold_slack: 5
uneven_upstreams: true
fair_queue_min_routers: 33
"""
OPTIONAL = ("evacuate_ms", "drain_ms", "cold_over", "cold_slack")


def test_valid_settings_are_parsed_with_their_units():
    settings = parse_gateway_settings(VALID, "f")
    assert settings.peer == Address("10.0.0.1", 82)
    assert settings.seeds == ("10.0.0.1", "10.0.0.2")
    assert settings.grace.total_seconds() == 8
    assert settings.lease.total_seconds() == 3
    assert settings.quota_slack == 190000


def test_without_the_number_of_watchers_all_routers_watch_the_store():
    """A deployment that does not name the setting must be served as before."""
    text = VALID.replace("store_watchers: 3\n", "")
    assert parse_gateway_settings(text, "f").store_watchers == 0


def test_a_bound_that_a_deployment_does_not_have_is_off():
    """Guards against a router that does not start where the template leaves gaps."""
    assert parse_gateway_settings(VALID, "f").evacuate.total_seconds() == 5
    assert parse_gateway_settings(VALID, "f").cold_over == 1.5
    lines = VALID.splitlines()
    for gap in ("", " ", ' ""'):
        emptied = [
            f"{name}:{gap}" if name in OPTIONAL else line
            for line in lines
            for name in [line.partition(":")[0]]
        ]
        settings = parse_gateway_settings("\n".join(emptied), "f")
        assert settings.evacuate is None
        assert (settings.cold_over, settings.cold_slack) == (1.0, 0.0)
    absent = [line for line in lines if line.partition(":")[0] not in OPTIONAL]
    assert parse_gateway_settings("\n".join(absent), "f").evacuate is None


def test_speeds_of_upstreams_are_not_used_unless_the_settings_ask_for_it():
    text = VALID.replace("uneven_upstreams: true\n", "")
    assert not parse_gateway_settings(text, "f").uneven_upstreams
    assert parse_gateway_settings(VALID, "f").uneven_upstreams
    with pytest.raises(ConfigError):
        parse_gateway_settings(VALID.replace("true", "often"), "f")


def test_the_fair_order_is_off_unless_a_positive_number_of_routers_is_given():
    """Guards against a change of the order where a deployment does not ask for it."""
    line = "fair_queue_min_routers: 33\n"
    assert parse_gateway_settings(VALID, "f").fair_queue_min_routers == 33
    without = parse_gateway_settings(VALID.replace(line, ""), "f")
    assert without.fair_queue_min_routers is None
    with pytest.raises(ConfigError):
        parse_gateway_settings(VALID.replace(line, line.replace("33", "0")), "f")


def test_all_findings_have_their_location():
    text = VALID.replace("ready: 10.0.0.1:81", "ready: nowhere")
    text = text.replace("grace_s: 8", "grace: 8")
    with pytest.raises(ConfigError) as caught:
        parse_gateway_settings(text, "f")
    locations = {
        (item.line, item.message.split("'")[1]) for item in caught.value.findings
    }
    assert locations == {(5, "ready"), (13, "grace"), (1, "grace_s")}


@pytest.mark.parametrize("text", ["[1, 2]", "a: [", ""])
def test_file_without_a_mapping_is_a_finding(text):
    with pytest.raises(ConfigError):
        parse_gateway_settings(text, "f")


def test_missing_file_is_a_finding(tmp_path):
    with pytest.raises(ConfigError):
        load_gateway_settings(str(tmp_path / "none"))


def test_template_has_every_setting():
    template = (ROOT / "deploy" / "router.yaml").read_text(encoding="utf-8")
    given = {line.partition(":")[0] for line in template.splitlines()}
    assert given == FIELD_AND_PARSER_BY_SETTING.keys() == yaml.safe_load(VALID).keys()


def test_guide_documents_every_setting():
    page = (ROOT / "docs" / "user-guide" / "gateway.md").read_text(encoding="utf-8")
    assert not [name for name in FIELD_AND_PARSER_BY_SETTING if f"`{name}`" not in page]
