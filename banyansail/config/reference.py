"""Reference of the rule language, generated from its syntax tables."""

from __future__ import annotations

from banyansail.config.rule_options import SYNTAX_BY_KIND, RuleSyntax


def format_reference() -> str:
    """Return the reference as Markdown."""
    parts = [
        "# Rules reference\n",
        "One line a rule: `KIND WORD... key=value... # who: why`. The comment is "
        "required.\n",
    ]
    parts.extend(
        _format_syntax(kind, syntax) for kind, syntax in SYNTAX_BY_KIND.items()
    )
    return "\n".join(parts)


def _format_syntax(kind: str, syntax: RuleSyntax) -> str:
    words = " ".join(word.attribute.upper() for word in syntax.words)
    lines = [f"## {kind}\n", f"{syntax.help}\n", f"    {kind} {words} key=value...\n"]
    lines.append("| option | required | meaning |")
    lines.append("| --- | --- | --- |")
    for word in syntax.words:
        lines.append(f"| {word.attribute.upper()} | yes | {word.help} |")
    for key, option in syntax.option_by_key.items():
        required = "yes" if option.required else "no"
        lines.append(f"| {key} | {required} | {option.help} |")
    return "\n".join(lines) + "\n"
