"""Pages that are generated from the code, and their examples, which are run."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from banyansail.config.reference import format_reference
from banyansail.config.rule_parser import parse_rules
from banyansail.config.settings import OPTION_BY_NAME
from banyansail.routing.request_types import RefusalCode
from tests.live import LiveSite

KEY_FIELD = "Idempotency-Key"
GUIDE = Path(__file__).parent.parent / "docs" / "user-guide"


def indented_text(page: str) -> str:
    """Return the indented examples of a page, without the indent."""
    text = (GUIDE / page).read_text(encoding="utf-8").partition("## Examples")[2]
    lines = [line[4:] for line in text.splitlines() if line.startswith("    ")]
    return "\n".join(lines)


def read_examples() -> list[tuple[str, str, dict[str, str], bytes | None, str]]:
    examples = []
    pattern = r"(GET|POST) (\S+)\n((?:[\w-]+: .*\n)*)(?:(?!=>)(.*)\n)?=> (.*)"
    for match in re.finditer(pattern, indented_text("http.md")):
        method, path, header_lines, body, expectation = match.groups()
        headers = dict(line.split(": ") for line in header_lines.splitlines())
        data = body.encode() if body else None
        examples.append((method, path, headers, data, expectation))
    return examples


@pytest.fixture(scope="module")
def site():
    with LiveSite() as live:
        live.engine("e0")
        live.service("s0")
        live.start()
        yield live


def test_there_are_examples():
    assert len(read_examples()) == 8


@pytest.mark.parametrize(
    "example", read_examples(), ids=lambda item: f"{item[1]} {item[4]}"
)
def test_example_of_the_http_page(site, example):
    # Later uses of a key depend on its first use, also if the tests run in several
    # processes.
    all_examples = read_examples()
    for earlier in all_examples[: all_examples.index(example)]:
        if earlier[2].get(KEY_FIELD) and earlier[2] == example[2]:
            send_example(site, earlier)
    status, answer = send_example(site, example)
    expected_status, _, code = example[-1].partition(" ")
    assert status == int(expected_status), answer
    if code:
        assert json.loads(answer)["error"]["code"] == code


def send_example(site, example) -> tuple[int, bytes]:
    method, path, headers, body, _ = example
    header_arguments = {
        name.replace("-", "_"): value for name, value in headers.items()
    }
    status, _, answer = site.call(method, path, body, **header_arguments)
    return status, answer


def test_http_page_names_every_code():
    text = (GUIDE / "http.md").read_text(encoding="utf-8")
    assert not [code.value for code in RefusalCode if code.value not in text]


def test_rules_page_is_made_from_the_forms():
    text = (GUIDE / "rules.md").read_text(encoding="utf-8")
    assert text == format_reference()


def test_first_steps_name_every_setting_and_their_rules_are_good():
    text = (GUIDE / "first-steps.md").read_text(encoding="utf-8")
    table = text.partition("## Settings")[2]
    assert not [name for name in OPTION_BY_NAME if name not in table]
    kinds = ("service ", "route ", "upstream ")
    lines = [line.strip() for line in text.splitlines()]
    rules = [line for line in lines if line.startswith(kinds) and "#" in line]
    assert len(rules) == 7
    assert parse_rules("\n".join(rules))[1] == []
