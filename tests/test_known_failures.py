"""Tests of the list of known failures: its format, its limit, and that each listed test exists."""

import pathlib

import pytest

from tests.known_failures import (
    MAX_ENTRIES,
    InvalidListError,
    KnownFailure,
    load_known_failures,
    parse,
)

ROOT = pathlib.Path(__file__).parent.parent


def test_a_line_holds_test_cause_and_issue():
    text = "# a comment\n\ntests/test_a.py::test_b | the cause | issue 36\n"
    assert parse(text) == [KnownFailure("tests/test_a.py::test_b", "the cause", "issue 36")]


@pytest.mark.parametrize(
    "text",
    ["tests/test_a.py::test_b\n", "a | b\n", "a |  | c\n", "a | b | c\n" * (MAX_ENTRIES + 1)],
)
def test_a_malformed_or_too_long_list_is_rejected(text):
    with pytest.raises(InvalidListError):
        parse(text)


def test_each_entry_names_a_test_that_exists():
    """A misspelt entry would mark no test, but still report its bug as open."""
    for entry in load_known_failures():
        path, _, name = entry.test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text(), entry
