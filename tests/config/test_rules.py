"""Rules parser: valid files, invalid files with all findings, and random input."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.config.findings import has_errors
from banyansail.config.reference import format_reference
from banyansail.config.rule_options import SYNTAX_BY_KIND
from banyansail.config.rule_parser import MAX_RULES_BYTES, parse_rules
from banyansail.config.rules import InstanceClass, RuleSet

VALID = """\
# Clydeside, from 3 December
service advisor-llm kind=model latency=330ms  # isla: counter answers
service depot-app kind=plain lookup=/orders/by-key/{key}  # isla: depots
workspace counter weight=3  # isla: a customer waits

route advisor-llm POST /v1/chat/completions repeat=yes priority=9 workspace=counter \
# isla: questions
route depot-app POST /orders repeat=no deadline=5s  # ewan: never doubled
limit depot-app queue=50 body=64KB  # ewan: small orders
upstream e1 service=advisor-llm version=v1 address=10.0.0.1:80 zone=glasgow \
class=on-demand price=2.5 fencing=yes  # ewan: the floor
upstream e2 service=advisor-llm version=v2 address=[::1]:80 zone=aberdeen  # ewan: v2
rollout advisor-llm from=v1 to=v2 start=2026-12-03T12:00:00Z \
deadline=2026-12-03T18:00:00+01:00 first=2.5%  # ewan: new model by six
placement advisor-llm replicas=5 floor=1 zone-share=40%  # ewan: cost
"""


def messages(text: str) -> list[str]:
    return [str(finding) for finding in parse_rules(text, "f")[1]]


def test_valid_rules_are_parsed():
    rules, findings = parse_rules(VALID)
    assert not has_errors(findings)
    assert rules.service_by_name["advisor-llm"].latency == timedelta(milliseconds=330)
    assert rules.upstream_by_name["e1"].instance_class is InstanceClass.ON_DEMAND
    assert rules.rollout_by_service["advisor-llm"].first_share == 0.025
    assert rules.placement_by_service["advisor-llm"].zone_share == 0.4
    assert rules.limit("depot-app").max_body_bytes == 64 * 1024
    assert rules.weight("counter") == 3
    assert rules.weight("unknown") == 1
    assert rules.text == VALID


@pytest.mark.parametrize(
    ("line", "location", "words"),
    [
        ("service a kind=plain", "f:1:21", "needs a comment"),
        ("service a kind=plain # because", "f:1:23", "needs a comment"),
        ("sevice a kind=plain # i: x", "f:1:1", "unknown rule 'sevice'"),
        ("service A kind=plain # i: x", "f:1:9", "is not a name"),
        ("service a kind=odd # i: x", "f:1:16", "neither model nor plain"),
        ("service a kind=plain kind=plain # i: x", "f:1:22", "given twice"),
        ("service a kind=plain colour=red # i: x", "f:1:22", "unknown option"),
        ("service a # i: x", "f:1:1", "'kind' is missing"),
        ("workspace w weight=0 # i: x", "f:1:20", "not positive"),
        ("limit s queue=-1 # i: x", "f:1:15", "not a whole number"),
        ("service a kind=plain latency=5 # i: x", "f:1:30", "not a duration"),
        ("upstream u service=s version=v address=h:1 zone=z # i: x", "f:1:40", "IP"),
        ("route s GET /a*b repeat=yes # i: x", "f:1:13", "last character"),
        ("route s GET /a repeat=maybe # i: x", "f:1:23", "neither yes nor no"),
        ("placement s replicas=2 zone-share=140% # i: x", "f:1:35", "percentage"),
        ("route s GET /a repeat=yes # i: x", "f:1:1", "service 's' has no rule"),
    ],
)
def test_findings_have_their_location(line, location, words):
    found = messages(line)
    assert any(item.startswith(location) and words in item for item in found), found


def test_every_finding_is_reported_at_once():
    text = "service a kind=odd latency=x # i: x\nbad\nroute a FLY y repeat=? # i: x\n"
    found = messages(text)
    assert len(found) >= 6
    assert found == sorted(found, key=lambda item: int(item.split(":")[1]))


@pytest.mark.parametrize(
    "change",
    [
        ("deadline=2026-12-03T18:00:00+01:00", "deadline=2026-12-03T10:00:00Z"),
        ("deadline=2026-12-03T18:00:00+01:00", "deadline=2026-12-03T18:00:00"),
        ("to=v2 start", "to=v1 start"),
        ("floor=1", "floor=9"),
        ("workspace=counter", "workspace=nobody"),
        ("workspace counter weight=3", "workspace counter weight=3 weight=4"),
    ],
)
def test_contradictory_rules_are_errors(change):
    assert has_errors(parse_rules(VALID.replace(*change))[1])


def test_duplicate_rules_are_found():
    for line in VALID.splitlines():
        if line and not line.startswith("#"):
            assert has_errors(parse_rules(VALID + line + "\n")[1]), line


def test_warnings_are_errors_in_strict_mode():
    findings = parse_rules("service a kind=plain # i: x")[1]
    assert not has_errors(findings)
    assert has_errors(findings, strict=True)


def test_oversized_file_is_not_parsed():
    rules, findings = parse_rules("#" * (MAX_RULES_BYTES + 1))
    assert has_errors(findings)
    assert rules.service_by_name == {}


WORDS = st.sampled_from(
    [*SYNTAX_BY_KIND, "a", "=", "#", "i: x", "kind=model", "repeat=yes", "/", "\t", "é"]
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.one_of(WORDS, st.text(max_size=8)), max_size=30))
def test_random_input_never_crashes_the_parser(words):
    rules, _ = parse_rules(" ".join(words))
    assert isinstance(rules, RuleSet)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(0, len(VALID) - 1), st.characters())
def test_one_changed_character_never_crashes(position, character):
    parse_rules(VALID[:position] + character + VALID[position + 1 :])


def test_reference_names_every_option():
    text = format_reference()
    for kind, syntax in SYNTAX_BY_KIND.items():
        assert f"## {kind}\n" in text
        for key in syntax.option_by_key:
            assert f"| {key} |" in text
