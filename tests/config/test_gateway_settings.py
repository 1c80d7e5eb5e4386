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
fair_queue_min_routers: 33
"""


def test_valid_settings_are_parsed_with_their_units():
    settings = parse_gateway_settings(VALID, "f")
    assert settings.peer == Address("10.0.0.1", 82)
    assert settings.seeds == ("10.0.0.1", "10.0.0.2")
    assert settings.grace.total_seconds() == 8
    assert settings.lease.total_seconds() == 3
    assert settings.quota_slack == 190000


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
