"""Reference of the rule language, made from its forms."""

from __future__ import annotations

from banyansail.config.rule_options import FORM_BY_KIND, RuleForm


def format_reference() -> str:
    """Return the reference as Markdown."""
    parts = [
        "# Rules reference\n",
        "One line a rule: `KIND WORD... key=value... # who: why`. The comment is "
        "required.\n",
    ]
    parts.extend(_format_form(kind, form) for kind, form in FORM_BY_KIND.items())
    return "\n".join(parts)


def _format_form(kind: str, form: RuleForm) -> str:
    words = " ".join(word.attribute.upper() for word in form.words)
    lines = [f"## {kind}\n", f"{form.help}\n", f"    {kind} {words} key=value...\n"]
    lines.append("| option | required | meaning |")
    lines.append("| --- | --- | --- |")
    for word in form.words:
        lines.append(f"| {word.attribute.upper()} | yes | {word.help} |")
    for key, option in form.option_by_key.items():
        required = "yes" if option.required else "no"
        lines.append(f"| {key} | {required} | {option.help} |")
    return "\n".join(lines) + "\n"
