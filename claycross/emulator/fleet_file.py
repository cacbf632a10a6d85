"""The fleet's file: which engines there are, how their states move, and when trouble comes.

Owns the keys of `deploy/fleet.toml`, their ranges and units; msgspec refuses all others with their
place. It must never give the model a value that it can't work with.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .model import EngineSpec, TransferRates

Whole = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class EngineKind(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`[[kind]]`: engines that are alike. Defaults are `model.Spec`'s."""

    name: str
    role: Literal["read", "write", "both", "embed"]
    count: Annotated[int, msgspec.Meta(ge=1, le=4000)] = 1
    slots: Whole = 8
    queue: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 40
    memory_tokens: Whole = 200_000
    block_tokens: Whole = 32
    chunk_tokens: Whole = 4096
    step_ms: Positive = 12.0
    read_tokens_per_s: Positive = 20_000.0
    per_answer_ms: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 0.2
    per_1000_context_ms: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 0.04
    per_million_pairs_ms: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.0
    cold_from: Share = 0.3
    warm_after_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 8.0
    fall_multiple: Positive = 2.5
    fall_window_s: Positive = 1.0
    fall_for_s: Positive = 3.0
    connections: Whole = 256

    def spec(self) -> EngineSpec:
        return EngineSpec(
            self.role,
            self.slots,
            self.queue,
            self.memory_tokens,
            self.block_tokens,
            self.chunk_tokens,
            self.step_ms / 1000,
            self.read_tokens_per_s,
            self.per_answer_ms / 1000,
            self.per_1000_context_ms / 1000,
            self.per_million_pairs_ms / 1000,
            self.cold_from,
            self.warm_after_s,
            self.fall_multiple,
            self.fall_window_s,
            self.fall_for_s,
            self.connections,
        )


def plain_fleet(engines: int, output_tokens: int = 120) -> str:
    """The text of a file with so many engines, half of them readers and half writers, in three
    zones.
    """
    kinds = (
        f'[[kind]]\nname = "{name}"\nrole = "{role}"\ncount = {engines // 2}\nslots = {slots}\n'
        for name, role, slots in (("prefill", "read", 8), ("decode", "write", 64))
    )
    head = f'zones = ["kigali", "huye", "musanze"]\ncells = 8\noutput_tokens = {output_tokens}\n'
    return head + "".join(kinds)


class EngineFault(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """`[[trouble]]`: what goes wrong, and when after the start."""

    at_s: Annotated[float, msgspec.Meta(ge=0)]
    do: Literal["slow", "kill", "start", "silent", "drain", "refuse", "replace", "stall", "go-on"]
    engine: str = ""
    times: Positive = 4.0  # as slow
    for_s: Positive = 5.0


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The file."""

    kind: Annotated[list[EngineKind], msgspec.Meta(min_length=1)]
    trouble: list[EngineFault] = []
    seed: int = 1
    host: str = "127.0.0.1"
    discovery_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    control_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    zones: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)] = ("a",)
    cells: Whole = 1  # in each zone
    near_tokens_per_s: Positive = 270_000.0
    far_tokens_per_s: Positive = 600_000.0
    zone_slower: Positive = 2.0
    output_tokens: Whole = 120  # of an answer, about; the request's most bounds it
    error_rate: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    streams: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = (
        128  # of HTTP/2 on a connection; 0: not spoken
    )
    idle_s: Positive = 5.0  # after which an engine closes a connection
    dimensions: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 16
    probes: bool = True
    holds: bool = True
    reports: bool = True

    def ways(self) -> TransferRates:
        return TransferRates(self.near_tokens_per_s, self.far_tokens_per_s, self.zone_slower)
