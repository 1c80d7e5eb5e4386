"""Parser of the rules file, which has one commented rule per line.

A rule is ``KIND WORD... key=value... # who: why``. Blank lines and lines with only a
comment are ignored, but kept in the stored text.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

from banyansail.config.findings import Finding, Severity
from banyansail.config.rule_options import SYNTAX_BY_KIND, RuleOption, RuleSyntax
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

MAX_RULES_BYTES = 900 * 1024  # the platform limits a value to 1 MB
COMMENT_PATTERN = re.compile(r"\s*[^\s:][^:]*:\s*\S.*")


@dataclass(slots=True, frozen=True)
class _Word:
    """A run of characters without spaces and its column."""

    text: str
    column: int


@dataclass(slots=True)
class _Line:
    """One line, its number and its findings."""

    file: str
    number: int
    text: str
    findings: list[Finding] = field(default_factory=list)

    def report(
        self, column: int, message: str, severity: Severity = Severity.ERROR
    ) -> None:
        self.findings.append(Finding(self.file, self.number, column, message, severity))

    def split(self) -> list[_Word]:
        """Split the line into words and check its comment."""
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
        Content of the rules file.
    file : str
        Name of the file, for findings.
    version : int
        Version of the platform's object that contains the text.

    Returns
    -------
    rules : RuleSet
        The valid rules.
    findings : list of Finding
        All findings of the file, in order of their location.
    """
    rules = RuleSet(text=text, version=version)
    findings: list[Finding] = []
    if len(text.encode()) > MAX_RULES_BYTES:
        findings.append(
            Finding(file, 1, 1, f"the file is over {MAX_RULES_BYTES} bytes")
        )
        return rules, findings
    rules_with_line: list[tuple[Rule, _Line]] = []
    for number, line_text in enumerate(text.split("\n"), start=1):
        line = _Line(file, number, line_text.rstrip("\r"))
        rule = _parse_line(line)
        if rule is not None:
            _add_rule(rules, rule, line)
            rules_with_line.append((rule, line))
        findings.extend(line.findings)
        line.findings.clear()
    for rule, line in rules_with_line:
        _check_references(rules, rule, line)
        findings.extend(line.findings)
    findings.sort(key=lambda item: (item.line, item.column))
    return rules, findings


def _parse_line(line: _Line) -> Rule | None:
    words = line.split()
    if not words:
        return None
    kind, *arguments = words
    syntax = SYNTAX_BY_KIND.get(kind.text)
    if syntax is None:
        known = ", ".join(SYNTAX_BY_KIND)
        line.report(kind.column, f"unknown rule {kind.text!r}; known are {known}")
        return None
    values = _parse_words(line, syntax, arguments)
    missing = [
        key
        for key, option in syntax.option_by_key.items()
        if option.required and option.attribute not in values
    ]
    # A rejected value already has a finding, which quotes its option.
    reported = {
        item.message.split("'")[1] for item in line.findings if "'" in item.message
    }
    for key in missing:
        if key not in reported:
            line.report(kind.column, f"option '{key}' is missing")
    if any(item.severity is Severity.ERROR for item in line.findings):
        return None
    return syntax.rule_class(**values)


def _parse_words(
    line: _Line, syntax: RuleSyntax, arguments: list[_Word]
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    count = len(syntax.words)
    for option, word in zip(syntax.words, arguments, strict=False):
        _parse_value(line, option, option.attribute, word.text, word.column, values)
    for option in syntax.words[len(arguments) :]:
        line.report(len(line.text) + 1, f"'{option.attribute}' is missing")
    for word in arguments[count:]:
        key, separator, text = word.text.partition("=")
        option = syntax.option_by_key.get(key)
        if not separator or option is None:
            known = ", ".join(syntax.option_by_key)
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


def _add_rule(rules: RuleSet, rule: Rule, line: _Line) -> None:
    match rule:
        case ServiceRule():
            _add_unique(rules.service_by_name, rule.name, rule, line)
        case UpstreamRule():
            _add_unique(rules.upstream_by_name, rule.name, rule, line)
        case RouteRule():
            _add_route(rules, rule, line)
        case WorkspaceRule():
            _add_unique(rules.workspace_by_name, rule.name, rule, line)
        case LimitRule():
            _add_unique(rules.limit_by_service, rule.service, rule, line)
        case RolloutRule():
            _add_unique(rules.rollout_by_service, rule.service, rule, line)
        case PlacementRule():
            _add_unique(rules.placement_by_service, rule.service, rule, line)


def _add_unique(by_key: dict[str, Any], key: str, rule: Rule, line: _Line) -> None:
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
        case PlacementRule() if rule.min_on_demand > rule.replicas:
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
