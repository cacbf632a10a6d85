"""Line-based protocols as state machines: operator commands, and the JSON values of a watch.

The parsers are fed bytes. They know the framing of commands and values and the limits on their
length, but not their meaning, and use no socket and no clock.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_COMMAND_BYTES = 512  # with the end of line
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # a JSON string never contains an end of line


class LineTooLongError(Exception):
    """A command or a value is longer than its limit."""


@dataclass(frozen=True, slots=True)
class Command:
    """An operator command: its name, and the rest of the line without the end of line."""

    name: str
    argument: str


class CommandParser:
    """Parses one command from bytes that arrive in pieces of any size."""

    def __init__(self, max_bytes: int = MAX_COMMAND_BYTES):
        self.max_bytes = max_bytes
        self.buffer = bytearray()
        self.done = False

    def feed(self, data: bytes) -> Command | None:
        """Add bytes; return the command once its line is complete.

        Raises:
            LineTooLongError: If the line is too long.
        """
        if self.done:
            return None  # each connection carries one command: what follows it is ignored
        line_end = data.find(b"\n")
        line = data if line_end < 0 else data[:line_end]
        if len(self.buffer) + len(line) >= self.max_bytes:
            self.done = True
            raise LineTooLongError(f"a call is at most {self.max_bytes - 1} bytes")
        self.buffer += line
        if line_end < 0:
            return None
        return self.end()

    def end(self) -> Command | None:
        """Return the command at the end of the input, where its line may lack the end of line."""
        if self.done:
            return None
        self.done = True
        text = bytes(self.buffer).rstrip(b"\r").decode("utf-8", "replace").strip()
        name, _, argument = text.partition(" ")
        return Command(name.lower(), argument.strip())


class JsonValueParser:
    """Splits a stream into JSON values, each on one line or, indented, on several.

    A blank line between two values is returned as b"", as it shows that the sender is alive. The
    caller checks whether a value is valid JSON.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.partial_line = b""
        self.lines: list[bytes] = []  # complete lines of the current value
        self.depth = 0  # nesting at the end of these lines
        self.size = 0  # bytes of these lines

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; return the values that have become complete.

        Raises:
            LineTooLongError: If a value is too long.
        """
        *complete, self.partial_line = (self.partial_line + data).split(b"\n")
        values = []
        for line in complete:
            value = self.add_line(line)
            if value is not None:
                values.append(value)
        if self.partial_line_ends_value():
            values.append(self.end())
        if self.size + len(self.partial_line) > self.max_bytes:
            raise LineTooLongError(f"a JSON value is longer than {self.max_bytes} bytes")
        return values

    def partial_line_ends_value(self) -> bool:
        """Return whether the value is complete although its end of line has not arrived."""
        line = self.partial_line
        return line.rstrip().endswith(b"}") and self.depth + nesting_change(line) == 0

    def add_line(self, line: bytes) -> bytes | None:
        """Add a line; return the value if the line completes it."""
        self.lines.append(line)
        self.size += len(line) + 1
        self.depth += nesting_change(line)
        return None if self.depth > 0 else self.take_value()

    def take_value(self) -> bytes:
        """Return the current value and start the next one."""
        value = b"\n".join(self.lines).strip()
        self.lines = []
        self.depth = 0
        self.size = 0
        return value

    def end(self) -> bytes:
        """Return the rest of the input, a complete value or not."""
        self.lines.append(self.partial_line)
        self.partial_line = b""
        return self.take_value()


def nesting_change(line: bytes) -> int:
    """Return the number of objects and arrays that a line opens minus those that it closes."""
    without_strings = JSON_STRING.sub(b"", line)
    opened = without_strings.count(b"{") + without_strings.count(b"[")
    closed = without_strings.count(b"}") + without_strings.count(b"]")
    return opened - closed


def ok(text: str = "") -> bytes:
    """Return the reply to a command that succeeded."""
    return reply(True, text)


def fail(text: str) -> bytes:
    """Return the reply to a command that failed."""
    return reply(False, text)


def reply(success: bool, text: str) -> bytes:
    """Return a reply of one line."""
    status = "ok" if success else "fail"
    line = f"{status} {text}" if text else status
    return line.replace("\r", " ").replace("\n", " ").encode() + b"\n"


def multiline_reply(success: bool, lines: list[str]) -> bytes:
    """Return a reply of several lines: the first is ok or fail, the last one eof."""
    body = "".join(line + "\n" for line in lines).encode()
    return reply(success, "") + body + b"eof\n"
