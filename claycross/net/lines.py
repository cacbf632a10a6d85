"""The operators' wire: one line a connection in, one or more lines out. A state machine fed bytes.

Owns the framing of a call and the bound on its length. It must never know a socket, a clock, or what a call
means: the door that drives it does.
"""

from __future__ import annotations

from dataclasses import dataclass

LONGEST = 512  # bytes of a call with its end of line: what is longer is turned away, not kept


class TooLong(Exception):
    """The call did not end within LONGEST bytes."""


@dataclass(frozen=True, slots=True)
class Call:
    """A call as the operator sent it: its word and what follows, without the end of line."""

    verb: str
    argument: str


class Lines:
    """Takes bytes as they come, in pieces cut anywhere; `feed` says the call once its line is whole."""

    def __init__(self, longest: int = LONGEST):
        self.longest, self.buffer, self.done = longest, bytearray(), False

    def feed(self, data: bytes) -> Call | None:
        if self.done:
            return None  # one call a connection: what follows it is not read
        end = data.find(b"\n")
        taken = data if end < 0 else data[:end]
        if len(self.buffer) + len(taken) >= self.longest:
            self.done = True
            raise TooLong(f"a call is at most {self.longest - 1} bytes")
        self.buffer += taken
        if end < 0:
            return None
        return self.end()

    def end(self) -> Call | None:
        """At the end of what the caller sends: a line without its end of line still counts."""
        if self.done:
            return None
        self.done = True
        text = bytes(self.buffer).rstrip(b"\r").decode("utf-8", "replace").strip()
        verb, _, argument = text.partition(" ")
        return Call(verb.lower(), argument.strip())


def ok(text: str = "") -> bytes:
    return reply(True, text)


def fail(text: str) -> bytes:
    return reply(False, text)


def reply(good: bool, text: str) -> bytes:
    line = ("ok" if good else "fail") + (f" {text}" if text else "")
    return line.replace("\r", " ").replace("\n", " ").encode() + b"\n"


def block(good: bool, lines: list[str]) -> bytes:
    """A reply of many lines, such as the figures: the first says ok, the last says eof."""
    head = reply(good, "")
    return head + "".join(line + "\n" for line in lines).encode() + b"eof\n"
