"""Shared fixtures, and the marking of known failures as expected to fail."""

import sys

import pytest

from standins.servers import Site
from tests.known_failures import load_known_failures


@pytest.fixture
def site(tmp_path):
    """Return a function that starts a gateway with the given engines until the end of the test."""
    sites = []

    def start(*engines, **fields):
        sites.append(Site(tmp_path, list(engines), **fields))
        return sites[-1].__enter__()

    yield start
    failed = sys.exc_info()[0]
    for started_site in sites:
        started_site.__exit__(failed)


def pytest_collection_modifyitems(items):
    """Mark listed tests as strictly expected to fail: one that passes must leave the list."""
    known_failures = {entry.test: entry for entry in load_known_failures()}
    for item in items:
        if entry := known_failures.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=True))


def pytest_terminal_summary(terminalreporter):
    for entry in load_known_failures():
        terminalreporter.write_line(f"known failure: {entry.test}: {entry.cause} ({entry.issue})")
