"""Configuration files written by operators, validated by msgspec: one struct per file or table.

The structs define the names, ranges and units of the keys. An unknown key or a value out of range
raises ConfigurationError with the file, the position in it and the expected value. The module is
imported only if one of these files is given, since nothing else needs the library.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

from ..fleet.membership import MembershipConfig
from ..interface import FULL_GOSSIP_LIMIT
from ..upstream.stream_accounting import MS, SECOND, ConnectionLimits
from .settings import ConfigurationError, read_toml

StructT = TypeVar("StructT")
ConnectionCount = Annotated[int, msgspec.Meta(ge=1, le=16)]
WaitingCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Milliseconds = Annotated[int, msgspec.Meta(ge=10, le=600_000)]
Seconds = Annotated[int, msgspec.Meta(ge=1, le=86_400)]
StreamCount = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
WindowKib = Annotated[int, msgspec.Meta(ge=1, le=1024)]
FrameCount = Annotated[int, msgspec.Meta(ge=50, le=1_000_000)]
HelperCount = Annotated[int, msgspec.Meta(ge=0, le=8)]
SuspicionMultiplier = Annotated[float, msgspec.Meta(ge=1, le=60)]
RetransmitMultiplier = Annotated[float, msgspec.Meta(ge=1, le=10)]
GatewayCount = Annotated[int, msgspec.Meta(ge=1, le=4096)]
SharedKey = Annotated[str, msgspec.Meta(min_length=16, max_length=64, pattern="^[ -~]+$")]
# At most two keys: the current one, and its predecessor or successor during a rotation.
SharedKeys = Annotated[list[SharedKey], msgspec.Meta(max_length=2)]
# A probe takes up to three ack timeouts: direct probe, request to helpers, indirect probe.
ACK_TIMEOUTS_PER_PROBE = 3


class Http2Config(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`deploy/http2.toml`: HTTP/2 connections to engines; docs/http2.md explains each limit."""

    # Whether HTTP/2 is used for engines whose entry in the endpoint list names no protocol.
    everywhere: bool = False
    connections: ConnectionCount = 2  # to one engine
    streams: StreamCount = 256  # on one connection, if the engine allows more
    waiting: WaitingCount = 64  # requests waiting for a stream to one engine
    wait_ms: Milliseconds = 250  # longest wait for a stream
    settings_ms: Milliseconds = 300  # for SETTINGS, before the engine counts as HTTP/1 only
    idle_s: Seconds = 30  # idle timeout; at most half of `conn-idle` in the gateway's settings
    ping_after_ms: Milliseconds = 1000  # without a frame, while requests are in flight
    ping_wait_ms: Milliseconds = 1000  # for a ping ack, before the connection counts as dead
    body_wait_ms: Milliseconds = 1000  # for flow-control credit while a request body is sent
    recheck_s: Seconds = 30  # until HTTP/2 is tried again with an HTTP/1 engine
    window_kib: WindowKib = 32  # flow-control window of one stream
    noise: FrameCount = 1000  # frames without response content in one burst

    def connection_limits(self, engine_idle_timeout_ns: int) -> ConnectionLimits:
        """Return the limits on connections to engines.

        Args:
            engine_idle_timeout_ns: Time after which engines close idle connections; 0 if unknown.
        """
        idle_timeout_ns = self.idle_s * SECOND
        if engine_idle_timeout_ns:
            idle_timeout_ns = min(idle_timeout_ns, engine_idle_timeout_ns // 2)
        return ConnectionLimits(
            max_connections=self.connections,
            max_streams=self.streams,
            max_waiting=self.waiting,
            request_wait=self.wait_ms * MS,
            settings_timeout=self.settings_ms * MS,
            idle_timeout=idle_timeout_ns,
            ping_after=self.ping_after_ms * MS,
            ping_timeout=self.ping_wait_ms * MS,
            recheck_after=self.recheck_s * SECOND,
            max_overhead_frames=self.noise,
        )


class MembersTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`[members]`: the membership protocol (SWIM)."""

    period_ms: Milliseconds = 1000  # between two probes
    answer_ms: Milliseconds = 250  # ack timeout, after which helpers make an indirect probe
    helpers: HelperCount = 3  # gateways that make an indirect probe
    # Suspicion timeout in periods, per factor of 10 in members.
    suspicion: SuspicionMultiplier = 3.0
    spread: RetransmitMultiplier = 2.0  # transmissions of an update, per doubling of members
    cut_after_ms: Milliseconds = 1500  # without any ack, until this gateway counts as partitioned
    keys: SharedKeys = msgspec.field(default_factory=list)

    def __post_init__(self) -> None:
        if ACK_TIMEOUTS_PER_PROBE * self.answer_ms > self.period_ms:
            raise ValueError(
                "answer_ms must be a third of period_ms or less: "
                "a probe takes up to three times answer_ms"
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

    # With more gateways than this, one aggregates the load of all; otherwise each gateway sends its
    # own load to all others.
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
