"""Randomized fault soak of the gateway: streams that break, resume and move.

Usage:
  soak --seed=N [--minutes=M] [options]
  soak --failed-seeds [options]

Options:
  --seed=N         Seed of the faults and of the requests.
  --failed-seeds   Play all runs that failed once.
  --minutes=M      How long faults are struck [default: 2].
  --routers=R      Gateways [default: 3].
  --upstreams=U    Upstreams, of which two answer plain requests [default: 7].
  --kinds=NAMES    Kinds of faults, with commas between them; all by default.
  --retry-slack=N  Retries allowed in 10 s beyond the ratio [default: 1000].
  --json=FILE      Write the results to a file.
  --keep=FOLDER    Where failing runs leave their records [default: soak-findings].
  --without-times  Leave out the checks that measure time.
"""

from __future__ import annotations

import shutil
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

from docopt import docopt

from banyansail.clock import SystemClock
from benchmarks.soak.checks.all_checks import checks_of
from benchmarks.soak.failed_seeds import read_failed_seeds
from benchmarks.soak.plan import names_of_kinds
from benchmarks.soak.report import Progress, result_table, save_results
from benchmarks.soak.soak import Options, Result, run_soak

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks.soak.checks.check import Check

EXIT_FINDING = 1
EXIT_TERMINATED = 143
S_PER_MINUTE = 60


def main(argv: list[str] | None = None) -> int:
    """Play the runs; return the exit code."""
    arguments = docopt(__doc__, argv)
    checks = checks_of(is_timed=not arguments["--without-times"])
    try:
        runs = _runs(arguments)
    except ValueError as error:
        sys.exit(f"soak: {error}")
    results = [_play(item, checks, Path(arguments["--keep"])) for item in runs]
    if arguments["--json"] is not None:
        save_results(results, Path(arguments["--json"]))
    return EXIT_FINDING if any(item.findings for item in results) else 0


def _runs(arguments: dict[str, Any]) -> list[Options]:
    if arguments["--failed-seeds"]:
        runs = [(item.seed, item.minutes) for item in read_failed_seeds()]
    else:
        runs = [(int(arguments["--seed"]), float(arguments["--minutes"]))]
    return [
        Options(
            seed,
            minutes * S_PER_MINUTE,
            names_of_kinds(arguments["--kinds"]),
            int(arguments["--routers"]),
            int(arguments["--upstreams"]),
            retry_slack=float(arguments["--retry-slack"]),
        )
        for seed, minutes in runs
    ]


def _play(options: Options, checks: Sequence[type[Check]], kept: Path) -> Result:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        is_kept = True  # also if the soak itself fails
        try:
            result = run_soak(options, checks, folder, SystemClock(), Progress().show)
            save_results([result], folder / "result.json")
            is_kept = bool(result.findings)
        finally:
            if is_kept:
                _keep(folder, kept / f"seed-{options.seed}")
    print(file=sys.stderr)
    print(result_table(result), flush=True)
    return result


def _keep(folder: Path, target: Path) -> None:
    shutil.copytree(folder, target, dirs_exist_ok=True)
    print(f"\nrecords: {target}", file=sys.stderr)


def _exit(number: int, frame: object) -> None:
    sys.exit(EXIT_TERMINATED)  # leaves all contexts, so that what was started ends


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, _exit)
    sys.exit(main())
