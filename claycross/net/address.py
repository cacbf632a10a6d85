"""Network addresses, and endpoints of engines."""

from __future__ import annotations

from typing import NamedTuple

Address = tuple[str, int]  # host and port


class Endpoint(NamedTuple):
    """Address and protocol of an engine, from the endpoint list.

    Endpoints that are equal belong to the same process.
    """

    host: str
    port: int
    protocol: str = ""  # as named in the endpoint list; empty if it names none
    boot: int = 0  # start time of the process in nanoseconds of Unix time; 0 if unknown

    @property
    def address(self) -> Address:
        """Host and port."""
        return self.host, self.port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
