"""Validation findings with their location in the file, reported together."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """Severity of a finding; an error makes the file unusable."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(slots=True, frozen=True)
class Finding:
    """One problem in a file.

    Parameters
    ----------
    file : str
        Name of the file.
    line, column : int
        Location of the problem, counted from 1.
    message : str
        Description of the problem and of what is expected.
    severity : Severity
        Warnings count as errors in strict mode.
    """

    file: str
    line: int
    column: int
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}:{self.column}"
        return f"{location}: {self.severity.value}: {self.message}"


def has_errors(findings: list[Finding], *, strict: bool = False) -> bool:
    """Return whether any finding makes the file unusable."""
    return any(strict or item.severity is Severity.ERROR for item in findings)
