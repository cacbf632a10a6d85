"""Reads KNOWN-RED.txt, the list of tests that fail because of known bugs not fixed yet.

Each line names a test, the cause and the issue, separated by " | "; lines that begin with # are
comments. A listed test is expected to fail. If it passes, the test run fails, so that an entry is
removed once its bug is fixed.
"""

from __future__ import annotations

import pathlib
from dataclasses import dataclass

LIST_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
SEPARATOR = " | "
PARTS_PER_LINE = 3
MAX_ENTRIES = 3


class InvalidListError(ValueError):
    """A line of the list is malformed, or the list has too many entries."""


@dataclass(frozen=True)
class KnownFailure:
    """An entry of the list."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """Parse the entries of the list.

    Raises:
        InvalidListError: A line lacks a part, or there are too many entries.
    """
    entries = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != PARTS_PER_LINE or not all(parts):
            raise InvalidListError(f"a line must have the form test | cause | issue: {line!r}")
        entries.append(KnownFailure(*parts))
    if len(entries) > MAX_ENTRIES:
        raise InvalidListError(f"{len(entries)} known failures exceed the limit of {MAX_ENTRIES}")
    return entries


def load_known_failures() -> list[KnownFailure]:
    """Return the entries of the file; an empty list if there is no file."""
    return parse(LIST_PATH.read_text()) if LIST_PATH.exists() else []
