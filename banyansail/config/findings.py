"""Findings of a check, collected with their place and reported together."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """Whether a finding forbids the use of the file."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(slots=True, frozen=True)
class Finding:
    """One fault of a file.

    Parameters
    ----------
    file : str
        Name of the file.
    line, column : int
        Place of the fault, counted from 1.
    message : str
        What is wrong and what would be right.
    severity : Severity
        Warnings become errors in strict mode.
    """

    file: str
    line: int
    column: int
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}:{self.column}"
        return f"{place}: {self.severity.value}: {self.message}"


def has_errors(findings: list[Finding], *, strict: bool = False) -> bool:
    """Tell whether findings forbid the use of the file."""
    return any(strict or item.severity is Severity.ERROR for item in findings)
