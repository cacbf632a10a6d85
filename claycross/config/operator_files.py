"""Configuration files of operators, validated by msgspec: one struct for each file or table.

The structs define the names, ranges and units of the keys. An unknown key or a value out of its
range raises ConfigurationError naming the file, the place in it, and what is expected. This module
is imported only where one of the files is given, as the library is not needed otherwise.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

from ..fleet.membership import MembershipConfig
from ..interface import FULL_GOSSIP_LIMIT
from ..upstream.stream_accounting import MS, SECOND, ConnectionLimits
from .settings import ConfigurationError, read_toml

StructT = TypeVar("StructT")
Few = Annotated[int, msgspec.Meta(ge=1, le=16)]
Many = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Millis = Annotated[int, msgspec.Meta(ge=10, le=600_000)]
Seconds = Annotated[int, msgspec.Meta(ge=1, le=86_400)]
StreamCount = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
WindowKib = Annotated[int, msgspec.Meta(ge=1, le=1024)]
FrameCount = Annotated[int, msgspec.Meta(ge=50, le=1_000_000)]
HelperCount = Annotated[int, msgspec.Meta(ge=0, le=8)]
SuspicionMultiplier = Annotated[float, msgspec.Meta(ge=1, le=60)]
RetransmitMultiplier = Annotated[float, msgspec.Meta(ge=1, le=10)]
GatewayCount = Annotated[int, msgspec.Meta(ge=1, le=4096)]
Key = Annotated[str, msgspec.Meta(min_length=16, max_length=64, pattern="^[ -~]+$")]
# Two keys at most: the current one, and its predecessor or successor during a rotation.
Keys = Annotated[list[Key], msgspec.Meta(max_length=2)]
# A probe lasts three times its timeout: direct, request to helpers, indirect.
TIMEOUTS_PER_PROBE = 3


class Http2Config(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`deploy/http2.toml`: HTTP/2 towards engines; docs/http2.md explains each bound."""

    # Whether engines whose entry in the list names no protocol are spoken to by HTTP/2.
    everywhere: bool = False
    connections: Few = 2  # to one engine
    streams: StreamCount = 256  # on one connection, if the engine allows more
    waiting: Many = 64  # requests that wait for a stream at one engine
    wait_ms: Millis = 250  # for a stream
    settings_ms: Millis = 300  # for SETTINGS, before the engine counts as not speaking HTTP/2
    idle_s: Seconds = 30  # idle timeout; at most half of `conn-idle` in the gateway's settings
    ping_after_ms: Millis = 1000  # without a frame while requests are in flight
    ping_wait_ms: Millis = 1000  # for the answer to a ping, before the connection counts as dead
    body_wait_ms: Millis = 1000  # for flow-control credit while a request body is sent
    recheck_s: Seconds = 30  # until HTTP/2 is tried again at an engine that did not speak it
    window_kib: WindowKib = 32  # flow-control window of one stream
    noise: FrameCount = 1000  # frames in a burst that carry nothing

    def connection_limits(self, idle_close: int) -> ConnectionLimits:
        """Return the limits of connections.

        Args:
            idle_close: Nanoseconds after which engines close idle connections; 0 if unknown.
        """
        idle = self.idle_s * SECOND
        if idle_close:
            idle = min(idle, idle_close // 2)
        return ConnectionLimits(
            max_connections=self.connections,
            max_streams=self.streams,
            max_waiting=self.waiting,
            request_wait=self.wait_ms * MS,
            settings_timeout=self.settings_ms * MS,
            idle_timeout=idle,
            ping_after=self.ping_after_ms * MS,
            ping_timeout=self.ping_wait_ms * MS,
            recheck_after=self.recheck_s * SECOND,
            max_overhead_frames=self.noise,
        )


class MembersTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`[members]`: the membership protocol (SWIM)."""

    period_ms: Millis = 1000  # between two probes
    answer_ms: Millis = 250  # for an ack, before helpers are asked for an indirect probe
    helpers: HelperCount = 3  # of an indirect probe
    suspicion: SuspicionMultiplier = 3.0  # periods for each tenfold of members
    spread: RetransmitMultiplier = 2.0  # transmissions of an update for each doubling of members
    cut_after_ms: Millis = 1500  # without any ack, until this gateway counts itself as partitioned
    keys: Keys = msgspec.field(default_factory=list)

    def __post_init__(self) -> None:
        if TIMEOUTS_PER_PROBE * self.answer_ms > self.period_ms:
            raise ValueError(
                "answer_ms must be a third of period_ms or less: a probe lasts three of it"
            )

    def membership_config(self) -> MembershipConfig:
        """Return the configuration of the membership protocol."""
        return MembershipConfig(
            self.period_ms * MS,
            self.answer_ms * MS,
            self.helpers,
            self.suspicion,
            self.spread,
            self.cut_after_ms * MS,
            tuple(key.encode() for key in self.keys),
        )


class SumsTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`[sums]`: load aggregation."""

    # Among more gateways one aggregates the load of all; among fewer each sends its to all others.
    above: GatewayCount = FULL_GOSSIP_LIMIT


class CooperationConfig(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`deploy/cooperation.toml`: the protocols between gateways; see docs/fleet.md."""

    members: MembersTable = MembersTable()
    sums: SumsTable = SumsTable()


def read(path: str, struct_type: type[StructT]) -> StructT:
    """Read a TOML file as a struct.

    Raises:
        ConfigurationError: The file can't be read or is not valid.
    """
    try:
        return msgspec.convert(read_toml(path), struct_type)
    except msgspec.ValidationError as err:
        raise ConfigurationError(f"{path}: {err}") from None
