"""Tests of the layout: which modules each package may import, read from the source."""

import ast
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent / "claycross"
# Standard modules that do no I/O and read no clock.
PURE_STANDARD_MODULES = {
    "__future__",
    "bisect",
    "collections",
    "dataclasses",
    "enum",
    "functools",
    "hashlib",
    "heapq",
    "itertools",
    "math",
    "operator",
    "statistics",
    "typing",
}
PROTOCOL_FILES = {
    "chunked_body.py",
    "http1.py",
    "http1_encoding.py",
    "http2.py",
    "line_protocol.py",
}
INTERFACE = ROOT / "interface.py"
# Packages, and single files of other packages, that do no I/O and read no clock.
PURE_PACKAGES = ("routing", "fleet")
PURE_SINGLE_FILES = (
    "requests/memory_account.py",
    "requests/preconditions.py",
    "requests/reserved_states.py",
    "requests/state_release.py",
    "recovery/administrative_ejection.py",
    "recovery/persisted_state.py",
    "recovery/shutdown_schedule.py",
    "recovery/warm_start.py",
    "recovery/warm_start_snapshot.py",
    "discovery/engine_incarnations.py",
    "discovery/list_freshness.py",
    "net/receive_timestamps.py",
    "net/stall_detection.py",
    "upstream/stream_accounting.py",
    "upstream/stream_records.py",
)
PURE_FILES = [
    *(path for package in PURE_PACKAGES for path in sorted((ROOT / package).rglob("*.py"))),
    *(ROOT / name for name in PURE_SINGLE_FILES),
]
PURE_MODULES = {
    ".".join(("claycross", *path.relative_to(ROOT).with_suffix("").parts)) for path in PURE_FILES
} | {f"claycross.{package}" for package in PURE_PACKAGES}
# Libraries of features that are disabled on the platform.
OPTIONAL_LIBRARIES = {
    "h2",
    "hpack",
    "hyperframe",
    "msgspec",
    "prometheus_client",
}


def imports(path):
    """Yield the absolute names of all modules that a file imports, also inside functions."""
    tree = ast.parse(path.read_text())
    package = ("claycross", *path.relative_to(ROOT).parent.parts)
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = ".".join(package[: len(package) - node.level + 1]) if node.level else ""
            module = ".".join(part for part in (base, node.module) if part)
            for name in node.names:
                submodule = f"{module}.{name.name}"
                is_file = (ROOT.parent / submodule.replace(".", "/")).with_suffix(".py").exists()
                yield submodule if is_file else module


@pytest.mark.parametrize("path", PURE_FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_pure_modules_do_no_io_and_read_no_clock(path):
    for name in imports(path):
        is_standard = name in PURE_STANDARD_MODULES or name.split(".")[0] in PURE_STANDARD_MODULES
        is_own = name in PURE_MODULES or name in ("claycross.interface", "claycross.invariant")
        # The router draws its random numbers from a given seed.
        is_seeded = name == "random" and path.parent.name == "routing"
        assert is_standard or is_own or is_seeded, f"{path.name} imports {name}"
    called_names = {
        node.func.id
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name)
    }
    assert not called_names & {"open", "print", "input", "eval", "exec", "__import__"}


@pytest.mark.parametrize(
    "package", sorted({str(path.parent.relative_to(ROOT)) for path in ROOT.rglob("*.py")})
)
def test_files_of_a_package_have_no_circular_imports(package):
    """Imports for type checking count as well."""
    paths = {
        ".".join(("claycross", *path.relative_to(ROOT).with_suffix("").parts)): path
        for path in (ROOT / package).glob("*.py")
    }
    dependencies = {
        module: {imported for imported in imports(path) if imported in paths}
        for module, path in paths.items()
    }
    while leaves := [module for module, imported in dependencies.items() if not imported]:
        for module in leaves:
            del dependencies[module]
        for imported in dependencies.values():
            imported.difference_update(leaves)
    assert not dependencies


@pytest.mark.parametrize(
    "path",
    [path for path in sorted((ROOT / "net").glob("*.py")) if path.name in PROTOCOL_FILES],
    ids=lambda path: path.name,
)
def test_protocol_modules_import_no_socket_and_no_clock(path):
    forbidden = {"socket", "select", "os", "time", "random", "greenlet"}
    forbidden |= {
        f"claycross.net.{name}" for name in ("loop", "event_loop", "connection", "listener")
    }
    assert not forbidden & set(imports(path))


@pytest.mark.parametrize(
    "path",
    [
        *sorted((ROOT / "routing").glob("*.py")),
        *sorted((ROOT / "requests").glob("*.py")),
        INTERFACE,
    ],
    ids=lambda path: str(path.relative_to(ROOT)),
)
def test_routing_and_requests_depend_on_no_protocol(path):
    imported = set(imports(path))
    assert not any(
        name.startswith(("claycross.net", "claycross.upstream", "claycross.frontends"))
        for name in imported
    )
    assert not any(word in path.read_text().lower() for word in ("http", "grpc", "h2c"))


def test_optional_libraries_are_not_imported_at_start():
    """Features that are disabled on the platform must not slow down its start."""
    code = "import sys, claycross.cli; print(*sorted(m for m in sys.modules if '.' not in m))"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT.parent, capture_output=True, text=True, check=False
    )
    assert result.returncode == 0 and "claycross" in result.stdout.split()
    assert not OPTIONAL_LIBRARIES & set(result.stdout.split())


def test_the_router_does_not_load_the_membership_protocol():
    """Membership is off unless `serve --cooperation` turns it on: its modules are loaded then."""
    code = "import sys, claycross.routing.router; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT.parent, capture_output=True, text=True, check=False
    )
    loaded = set(result.stdout.split())
    assert result.returncode == 0 and "claycross.fleet.load_aggregation" in loaded
    assert not loaded & {"claycross.fleet.member_state", "claycross.fleet.membership"}
