"""The operator's command line, run as a separate process."""

from __future__ import annotations

import json

import pytest

from tests.processes import Programs, wait_until

RULES = (
    "service depot-app kind=plain  # isla: depots\n"
    "route depot-app GET /stock/* repeat=yes  # isla: lookups\n"
)
EXTENDED_RULES = RULES + "workspace counter weight=3  # ewan: a customer waits\n"


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with Programs(tmp_path_factory.mktemp("cli")) as programs:
        port = programs.start_platform()
        yield programs, f"--platform=127.0.0.1:{port}", port


def write_rules(programs: Programs, text: str) -> str:
    path = programs.folder / "rules-under-test.txt"
    path.write_text(text)
    return str(path)


def test_check_prints_all_findings_and_fails(site):
    programs, _, _ = site
    file = write_rules(programs, "service A kind=odd  # isla: x\nroute x FLY /a\n")
    done = programs.run_cli("rules", "check", file)
    assert done.returncode == 1
    lines = done.stdout.splitlines()
    assert len(lines) >= 4
    assert all(line.startswith(f"{file}:") for line in lines)
    assert "Traceback" not in done.stderr


def test_bad_rules_are_not_applied(site):
    programs, platform, _ = site
    file = write_rules(programs, "nonsense\n")
    done = programs.run_cli("rules", "apply", file, platform, "--by=isla")
    assert done.returncode == 1
    assert "nothing was applied" in done.stderr


def test_apply_show_diff_history_and_lost_race(site):
    programs, platform, _ = site
    file = write_rules(programs, RULES)
    done = programs.run_cli("rules", "apply", file, platform, "--by=isla")
    assert "accepted as version 1" in done.stdout, done.stderr
    assert programs.run_cli("rules", "show", platform).stdout == RULES
    file = write_rules(programs, EXTENDED_RULES)
    diff = programs.run_cli("rules", "diff", file, platform).stdout
    assert "+workspace counter weight=3" in diff
    done = programs.run_cli("rules", "apply", file, platform, "--by=ewan")
    assert done.returncode == 0
    file = write_rules(programs, RULES)
    late = programs.run_cli("rules", "apply", file, platform, "--by=isla", "--expect=1")
    assert late.returncode == 1
    assert "ewan applied version 2" in late.stderr
    assert "-workspace counter weight=3" in late.stdout
    history = programs.run_cli("rules", "history", platform).stdout
    rows = [line.split() for line in history.splitlines()[2:]]
    assert [(row[0], row[2]) for row in rows] == [("2", "ewan"), ("1", "isla")]


def test_strict_mode_turns_warnings_into_failure(site):
    programs, _, _ = site
    file = write_rules(programs, "service a kind=plain  # isla: no route yet\n")
    assert programs.run_cli("rules", "check", file).returncode == 0
    assert programs.run_cli("rules", "check", file, "--strict").returncode == 1


def test_status_of_a_router(site):
    programs, _, port = site
    programs.apply_rules(port, EXTENDED_RULES)
    _, _, admin = programs.start_router("r0", port)
    router = f"--router=127.0.0.1:{admin}"
    shown = programs.run_cli("status", router)
    assert "r0: ready" in shown.stdout
    wait_until(lambda: "r0" in programs.run_cli("rules", "status", router).stdout)
    state = json.loads(programs.run_cli("status", router, "--json").stdout)
    assert state["rules_version"] >= 1


def test_errors_are_printed_without_tracebacks(site):
    programs, _, _ = site
    for arguments in (
        ("rules", "show", "--platform=127.0.0.1:1"),
        ("rules", "show", "--platform=nowhere"),
        ("rules", "check", "/no/such/file"),
        ("status", "--router=127.0.0.1:1"),
        ("explain", "x", "--log=/no/such/file"),
    ):
        done = programs.run_cli(*arguments)
        assert done.returncode == 1, arguments
        assert done.stderr.strip()
        assert "Traceback" not in done.stderr, done.stderr
