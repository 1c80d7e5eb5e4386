"""No modules of the package import each other in a circle, annotations included."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = "banyansail"
# Still there: modules that are handed the object which builds them.
KNOWN_IMPORTS = {
    ("banyansail.gateway.migration.scheduler", "banyansail.gateway.context"),
    ("banyansail.gateway.requests.relay", "banyansail.gateway.context"),
}


def module_paths() -> dict[str, Path]:
    """Return the path of each module by its name."""
    paths = {}
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        paths[name.removesuffix(".__init__")] = path
    return paths


def imported_names(path: Path) -> Iterator[str]:
    """Yield what a module imports of the package, and for its annotations."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            for item in node.names:
                yield f"{node.module}.{item.name}"
                yield node.module


def import_graph() -> dict[str, set[str]]:
    """Return the modules that each module imports."""
    paths = module_paths()
    return {
        name: {
            item
            for item in imported_names(path)
            if item in paths and item != name and (name, item) not in KNOWN_IMPORTS
        }
        for name, path in paths.items()
    }


def test_modules_import_each_other_in_one_direction():
    """Guards against modules that can only be read together."""
    graph = import_graph()
    assert len(graph) > 300
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        raise AssertionError(" <- ".join(error.args[1])) from None


def test_known_circles_are_still_there():
    """Guards against exceptions that are not needed any more."""
    paths = module_paths()
    for name, imported in KNOWN_IMPORTS:
        assert imported in set(imported_names(paths[name]))
