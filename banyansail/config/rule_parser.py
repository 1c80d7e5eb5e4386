"""Parser of the rules file: one commented line a rule.

A line is ``KIND WORD... key=value... # who: why``. Blank lines and lines that
hold only a comment are kept and mean nothing.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

from banyansail.config.findings import Finding, Severity
from banyansail.config.rule_options import FORM_BY_KIND, RuleForm, RuleOption
from banyansail.config.rules import (
    LimitRule,
    PlacementRule,
    RolloutRule,
    RouteRule,
    Rule,
    RuleSet,
    ServiceRule,
    UpstreamRule,
    WorkspaceRule,
)

MAX_RULES_BYTES = 900 * 1024  # below the platform's limit of 1 MB a value
COMMENT_PATTERN = re.compile(r"\s*[^\s:][^:]*:\s*\S.*")


@dataclass(slots=True, frozen=True)
class _Word:
    text: str
    column: int


@dataclass(slots=True)
class _Line:
    """One line with its place and the findings about it."""

    file: str
    number: int
    text: str
    findings: list[Finding] = field(default_factory=list)

    def report(
        self, column: int, message: str, severity: Severity = Severity.ERROR
    ) -> None:
        self.findings.append(Finding(self.file, self.number, column, message, severity))

    def split(self) -> list[_Word]:
        """Split into words and check the comment."""
        body, separator, comment = self.text.partition("#")
        words = [_Word(m[0], m.start() + 1) for m in re.finditer(r"\S+", body)]
        if words and not COMMENT_PATTERN.fullmatch(comment):
            column = len(body) + 1 + len(separator)
            self.report(column, "the rule needs a comment '# who: why'")
        return words


def parse_rules(
    text: str, file: str = "rules", version: int = 0
) -> tuple[RuleSet, list[Finding]]:
    """Parse and check rules.

    Parameters
    ----------
    text : str
        The rules file.
    file : str
        Name of the file, for findings.
    version : int
        Version of the platform's object that holds the text.

    Returns
    -------
    rules : RuleSet
        The rules that could be read.
    findings : list of Finding
        Every fault of the file, in order of its place.
    """
    rules = RuleSet(text=text, version=version)
    findings: list[Finding] = []
    if len(text.encode()) > MAX_RULES_BYTES:
        findings.append(
            Finding(file, 1, 1, f"the file is over {MAX_RULES_BYTES} bytes")
        )
        return rules, findings
    lines_by_rule: list[tuple[Rule, _Line]] = []
    for number, line_text in enumerate(text.split("\n"), start=1):
        line = _Line(file, number, line_text.rstrip("\r"))
        rule = _parse_line(line)
        if rule is not None:
            _add(rules, rule, line)
            lines_by_rule.append((rule, line))
        findings.extend(line.findings)
        line.findings.clear()
    for rule, line in lines_by_rule:
        _check_references(rules, rule, line)
        findings.extend(line.findings)
    findings.sort(key=lambda item: (item.line, item.column))
    return rules, findings


def _parse_line(line: _Line) -> Rule | None:
    words = line.split()
    if not words:
        return None
    kind, *rest = words
    form = FORM_BY_KIND.get(kind.text)
    if form is None:
        known = ", ".join(FORM_BY_KIND)
        line.report(kind.column, f"unknown rule {kind.text!r}; known are {known}")
        return None
    values = _parse_words(line, form, rest)
    missing = [
        key
        for key, option in form.option_by_key.items()
        if option.required and option.attribute not in values
    ]
    reported = {
        item.message.split("'")[1] for item in line.findings if "'" in item.message
    }
    for key in missing:
        if key not in reported:
            line.report(kind.column, f"option '{key}' is missing")
    if any(item.severity is Severity.ERROR for item in line.findings):
        return None
    return form.rule_class(**values)


def _parse_words(line: _Line, form: RuleForm, rest: list[_Word]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    count = len(form.words)
    for option, word in zip(form.words, rest, strict=False):
        _parse_value(line, option, option.attribute, word.text, word.column, values)
    for option in form.words[len(rest) :]:
        line.report(len(line.text) + 1, f"'{option.attribute}' is missing")
    for word in rest[count:]:
        key, separator, text = word.text.partition("=")
        option = form.option_by_key.get(key)
        if not separator or option is None:
            known = ", ".join(form.option_by_key)
            line.report(word.column, f"unknown option '{key}'; known are {known}")
        elif option.attribute in values:
            line.report(word.column, f"option '{key}' is given twice")
        else:
            column = word.column + len(key) + 1
            _parse_value(line, option, key, text, column, values)
    return values


def _parse_value(
    line: _Line,
    option: RuleOption,
    key: str,
    text: str,
    column: int,
    values: dict[str, Any],
) -> None:
    try:
        values[option.attribute] = option.parse(text)
    except ValueError as error:
        line.report(column, f"'{key}': {error}")


def _add(rules: RuleSet, rule: Rule, line: _Line) -> None:
    match rule:
        case ServiceRule():
            _add_once(rules.service_by_name, rule.name, rule, line)
        case UpstreamRule():
            _add_once(rules.upstream_by_name, rule.name, rule, line)
        case RouteRule():
            _add_route(rules, rule, line)
        case WorkspaceRule():
            _add_once(rules.workspace_by_name, rule.name, rule, line)
        case LimitRule():
            _add_once(rules.limit_by_service, rule.service, rule, line)
        case RolloutRule():
            _add_once(rules.rollout_by_service, rule.service, rule, line)
        case PlacementRule():
            _add_once(rules.placement_by_service, rule.service, rule, line)


def _add_once(by_key: dict[str, Any], key: str, rule: Rule, line: _Line) -> None:
    if key in by_key:
        line.report(1, f"'{key}' has a rule of this kind already")
        return
    by_key[key] = rule


def _add_route(rules: RuleSet, rule: RouteRule, line: _Line) -> None:
    routes = rules.routes_by_service.setdefault(rule.service, [])
    key = (rule.method, rule.path, rule.workspace)
    if any((item.method, item.path, item.workspace) == key for item in routes):
        line.report(1, f"route '{rule.method} {rule.path}' is given twice")
        return
    routes.append(rule)


def _check_references(rules: RuleSet, rule: Rule, line: _Line) -> None:
    service = getattr(rule, "service", None)
    if service is not None and service not in rules.service_by_name:
        line.report(1, f"service '{service}' has no rule")
    match rule:
        case RouteRule(workspace=workspace) if workspace:
            if workspace not in rules.workspace_by_name:
                line.report(1, f"workspace '{workspace}' has no rule")
        case RolloutRule():
            _check_rollout(rules, rule, line)
        case PlacementRule() if rule.floor > rule.replicas:
            line.report(1, "the floor is larger than the number of replicas")
        case ServiceRule() if rule.name not in rules.routes_by_service:
            line.report(1, f"service '{rule.name}' has no route", Severity.WARNING)


def _check_rollout(rules: RuleSet, rule: RolloutRule, line: _Line) -> None:
    if rule.deadline <= rule.start:
        line.report(1, "the deadline is not after the start")
    if rule.old_version == rule.new_version:
        line.report(1, "the versions 'from' and 'to' are the same")
    versions = {
        item.version
        for item in rules.upstream_by_name.values()
        if item.service == rule.service
    }
    for version in (rule.old_version, rule.new_version):
        if versions and version not in versions:
            line.report(1, f"no upstream runs version '{version}'", Severity.WARNING)
