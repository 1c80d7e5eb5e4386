"""Randomized fault soak of the gateway: streams that break, resume and move.

Usage:
  soak --seed=N [--minutes=M] [--routers=R] [--upstreams=U] [--kinds=NAMES]
       [--json=FILE] [--keep=FOLDER] [--without-times]

Options:
  --seed=N         Seed of the faults and of the requests.
  --minutes=M      How long faults are struck [default: 2].
  --routers=R      Gateways [default: 3].
  --upstreams=U    Upstreams, of which two answer plain requests [default: 7].
  --kinds=NAMES    Kinds of faults, with commas between them; all by default.
  --json=FILE      Write the result to a file.
  --keep=FOLDER    Where failing runs leave their records [default: soak-findings].
  --without-times  Leave out the checks that measure time.
"""

from __future__ import annotations

import shutil
import signal
import sys
import tempfile
from pathlib import Path

from docopt import docopt

from banyansail.clock import SystemClock
from benchmarks.soak.checks.all_checks import checks_of
from benchmarks.soak.plan import names_of_kinds
from benchmarks.soak.report import Progress, result_table, save_result
from benchmarks.soak.soak import Options, Result, run_soak

EXIT_FINDING = 1
EXIT_TERMINATED = 143


def main(argv: list[str] | None = None) -> int:
    """Play one run; return the exit code."""
    arguments = docopt(__doc__, argv)
    try:
        options = Options(
            seed=int(arguments["--seed"]),
            seconds=float(arguments["--minutes"]) * 60,
            kinds=names_of_kinds(arguments["--kinds"]),
            routers=int(arguments["--routers"]),
            upstreams=int(arguments["--upstreams"]),
        )
    except ValueError as error:
        sys.exit(f"soak: {error}")
    checks = checks_of(is_timed=not arguments["--without-times"])
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        result = run_soak(options, checks, folder, SystemClock(), Progress().show)
        save_result(result, folder / "result.json")
        if result.findings:
            _keep(folder, Path(arguments["--keep"]) / f"seed-{options.seed}")
    return _report(result, arguments["--json"])


def _keep(folder: Path, target: Path) -> None:
    shutil.copytree(folder, target, dirs_exist_ok=True)
    print(f"\nrecords: {target}", file=sys.stderr)


def _report(result: Result, json_path: str | None) -> int:
    print(file=sys.stderr)
    print(result_table(result))
    if json_path is not None:
        save_result(result, Path(json_path))
    return EXIT_FINDING if result.findings else 0


def _exit(number: int, frame: object) -> None:
    sys.exit(EXIT_TERMINATED)  # leaves all contexts, so that what was started ends


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, _exit)
    sys.exit(main())
