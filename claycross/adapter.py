"""The simulator's protocol on standard input and output, with one router for each instance.

Each input line is a JSON batch of events; the output line for it holds the resulting decisions. The
protocol's terms are translated here and appear nowhere else. This module makes no decisions.
"""

from __future__ import annotations

import json
import sys
from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any, NoReturn

from . import interface
from .config.settings import Fields, read_report, read_settings
from .interface import AttemptResult, EngineState, Timer, TimerKind, UpdateKind
from .routing.router import Router

UPDATE_KINDS = {
    "patch": UpdateKind.CHANGES,
    "whole": UpdateKind.FULL,
    "stale_copy": UpdateKind.SAVED,
    "broken": UpdateKind.FAILED,
}
ENGINE_STATES = {
    "IN": EngineState.READY,
    "LAME": EngineState.DRAINING,
    "OUT": EngineState.REMOVED,
}
TIMER_KINDS = {str(kind): kind for kind in TimerKind}
STATE_MISSING_INFO = 1  # `info` of an ending "full": the engine had no state to fetch
INPUT_ERROR_STATUS = 2  # exit status

Instance = str


class InputError(Exception):
    """The input is not a valid batch; the message says why."""


# ---------------------------------------------------------------- events


def read_endpoint_list_update(fields: Fields) -> interface.EndpointListUpdate:
    """Convert `Update`, an endpoint list or changes to it."""
    entries = [
        interface.EngineEndpoint(
            engine=member["engine"],
            machine_kind=member["kind"],
            state=ENGINE_STATES[member["condition"]],
            zone=member.get("area", ""),
            cell=int(member.get("bay", 0)),
            started_at=int(member.get("last-start", 0)),
            size=float(member.get("size", 1)),
        )
        for member in fields.get("members", [])
    ]
    return interface.EndpointListUpdate(UPDATE_KINDS[fields["kind"]], entries)


def read_request_arrived(fields: Fields) -> interface.RequestArrived:
    """Convert `Query`, the arrival of a request."""
    return interface.RequestArrived(
        request=fields["msg-id"],
        class_name=fields["grade"],
        time_left=int(fields["left"]),
        prompt_tokens=int(fields.get("input-len", 0)),
        session=fields.get("dialogue", ""),
        prefix=fields.get("shared-prefix", ""),
        prefix_tokens=int(fields.get("shared-len", 0)),
        max_output_tokens=int(fields.get("max-out", 0)),
        answer_duration_hint=int(fields.get("work-hint", 0)),
        tenant=str(fields.get("owner", "")),
        is_retry=bool(fields.get("resent", False)),
    )


def read_stream_started(fields: Fields) -> interface.StreamStarted:
    """Convert `First`, the start of a stream."""
    return interface.StreamStarted(
        fields["msg-id"], fields["hop"], fields["engine"], int(fields.get("time-taken", 0))
    )


def read_attempt_result(fields: Fields) -> AttemptResult:
    """Return the result of an attempt, from its `ending` and `info`."""
    ending = fields["ending"]
    if ending == "staged":
        return AttemptResult.READ
    if ending == "full" and int(fields.get("info", 0)) == STATE_MISSING_INFO:
        return AttemptResult.STATE_MISSING
    return AttemptResult(ending)


def read_attempt_finished(fields: Fields) -> interface.AttemptFinished:
    """Convert `Response`, the end of an attempt."""
    result = read_attempt_result(fields)
    has_cached_tokens = result in (AttemptResult.READ, AttemptResult.OK)
    return interface.AttemptFinished(
        request=fields["msg-id"],
        attempt=fields["hop"],
        engine=fields["engine"],
        result=result,
        elapsed=int(fields.get("time-taken", 0)),
        cached_tokens=int(fields.get("info", 0)) if has_cached_tokens else 0,
        request_over=bool(fields.get("ended", False)),
        load_report=read_report(fields.get("stats")),
    )


def read_request_abandoned(fields: Fields) -> interface.RequestAbandoned:
    """Convert `Left`: the client no longer waits for its request."""
    return interface.RequestAbandoned(fields["msg-id"])


def read_timer_fired(fields: Fields) -> interface.TimerFired | None:
    """Convert `Timer`; return None for a reference that this program never sets."""
    name, _, request = str(fields["ref"]).partition(" ")
    kind = TIMER_KINDS.get(name)
    if kind is None or not (request or "0").isdigit():
        return None
    return interface.TimerFired(Timer(kind, int(request or 0)))


def read_gossip_received(fields: Fields) -> interface.GossipReceived:
    """Convert `Memo`, a datagram from another gateway."""
    return interface.GossipReceived(int(fields["neighbour"]), b64decode(fields.get("payload", "")))


def check_reservation(fields: Fields) -> None:
    """Validate and drop `Reserved`, a response to a request that this program never makes."""
    _ = fields["msg-id"], fields["engine"], fields["what"]


def check_probe_result(fields: Fields) -> None:
    """Validate and drop `Health`, a response to a request that this program never makes."""
    _ = fields["engine"], fields["ending"], int(fields.get("time-taken", 0))


EVENT_READERS: dict[str, Callable[[Fields], interface.Event | None]] = {
    "Update": read_endpoint_list_update,
    "Query": read_request_arrived,
    "First": read_stream_started,
    "Response": read_attempt_finished,
    "Reserved": check_reservation,
    "Left": read_request_abandoned,
    "Timer": read_timer_fired,
    "Memo": read_gossip_received,
    "Health": check_probe_result,
}

# ---------------------------------------------------------------- actions


def timer_reference(timer: Timer) -> str:
    """Return the protocol's reference of a timer, as `read_timer_fired` parses it."""
    if timer.kind is TimerKind.REQUEST_DEADLINE:
        return f"{timer.kind} {timer.request}"
    return str(timer.kind)


def encode_start(action: interface.StartAttempt) -> Fields:
    """Return the fields of `Place`."""
    return {"msg-id": action.request, "timeout": action.timeout, "engine": action.engine}


def encode_release(action: interface.ReleaseState) -> Fields:
    """Return the fields of `LetGo`."""
    return {"msg-id": action.request}


def encode_cancel(action: interface.CancelAttempt) -> Fields:
    """Return the fields of `CallOff`."""
    return {"msg-id": action.request, "hop": action.attempt}


def encode_rejection(action: interface.RejectRequest) -> Fields:
    """Return the fields of `Bounce`."""
    return {"msg-id": action.request, "hold-off": action.retry_after}


def encode_failure(action: interface.FailRequest) -> Fields:
    """Return the fields of `Surrender`."""
    return {"msg-id": action.request}


def encode_timer(action: interface.SetTimer) -> Fields:
    """Return the fields of `Sleep`."""
    return {"wait": action.delay, "ref": timer_reference(action.timer)}


def encode_gossip(action: interface.SendGossip) -> Fields:
    """Return the fields of `WritePeer`."""
    to_all = action.recipient == interface.ALL_GATEWAYS
    payload = b64encode(action.payload).decode()
    return {"dst": "all" if to_all else action.recipient, "payload": payload}


def encode_watch(_: interface.WatchEndpoints) -> Fields:
    """Return the fields of `Track`."""
    return {"want": True}


def encode_log(action: interface.LogMessage) -> Fields:
    """Return the fields of `Emit`."""
    return {"text": action.text}


ACTION_ENCODERS: dict[type, tuple[str, Callable[[Any], Fields]]] = {
    interface.StartAttempt: ("Place", encode_start),
    interface.ReleaseState: ("LetGo", encode_release),
    interface.CancelAttempt: ("CallOff", encode_cancel),
    interface.RejectRequest: ("Bounce", encode_rejection),
    interface.FailRequest: ("Surrender", encode_failure),
    interface.SetTimer: ("Sleep", encode_timer),
    interface.SendGossip: ("WritePeer", encode_gossip),
    interface.WatchEndpoints: ("Track", encode_watch),
    interface.LogMessage: ("Emit", encode_log),
}


# ---------------------------------------------------------------- batches


class Adapter:
    """Runs one router for each instance and converts batches of events to replies."""

    def __init__(self) -> None:
        self.routers: dict[Instance, Router] = {}

    def process_batch(self, batch: Any) -> Fields:
        """Return the reply to a batch.

        Raises:
            InputError: The batch is not valid.
        """
        if not isinstance(batch, dict) or not isinstance(batch.get("news"), list):
            raise InputError("a batch must be an object with an array named news")
        if type(batch.get("moment")) is not int:
            raise InputError("a batch must hold its time, a whole number, as moment")
        # In order of each instance's first event.
        pending: dict[Instance, list[interface.Event]] = {}
        for item in batch["news"]:
            self._add_event(item, pending)
        decisions: list[Fields] = []
        for instance, events in pending.items():
            for action in self.routers[instance].handle(batch["moment"], events):
                name, encode = ACTION_ENCODERS[type(action)]
                decisions.append({name: {"who": instance, **encode(action)}})
        return {"decisions": decisions}

    def _add_event(self, item: Any, pending: dict[Instance, list[interface.Event]]) -> None:
        """Validate one item of a batch and dispatch its event.

        Raises:
            InputError: The item is not a valid event.
        """
        if not isinstance(item, dict) or len(item) != 1:
            raise InputError("an event must be an object with one key, its name")
        name, fields = next(iter(item.items()))
        if not isinstance(fields, dict) or not isinstance(fields.get("who"), str):
            raise InputError(f"event {name}: the string field who is missing")
        try:
            self._dispatch_event(name, fields, pending)
        except KeyError as error:
            raise InputError(
                f"event {name}: field or value {error} is missing or unknown"
            ) from None
        except (TypeError, ValueError, AttributeError) as error:
            raise InputError(f"event {name}: {error}") from None

    def _dispatch_event(
        self, name: str, fields: Fields, pending: dict[Instance, list[interface.Event]]
    ) -> None:
        """Apply `Launch` or `Exit`, or add any other event to the pending ones of its instance."""
        instance = fields["who"]
        if name == "Launch":
            pending[instance] = []
            settings = read_settings(fields["settings"])
            self.routers[instance] = Router(settings, int(fields["rng-seed"]))
        elif instance not in self.routers:
            raise InputError(f"event {name}: instance {instance} has not been launched")
        elif name == "Exit":
            # A stopped instance must not act on its pending events.
            pending.pop(instance, None)
            del self.routers[instance]
        elif name in EVENT_READERS:
            event = EVENT_READERS[name](fields)
            events = pending.setdefault(instance, [])
            if event is not None:
                events.append(event)
        else:
            raise InputError(f"event {name} is unknown")


def exit_with_error(message: str) -> NoReturn:
    """Print one line to standard error and exit."""
    print(f"claycross: {message}", file=sys.stderr)
    sys.exit(INPUT_ERROR_STATUS)


def main() -> None:
    """Reply to batches until the end of the input."""
    adapter = Adapter()
    for line in sys.stdin:
        try:
            batch = json.loads(line)
        except ValueError as error:
            exit_with_error(f"an input line is not valid JSON: {error}")
        try:
            reply = adapter.process_batch(batch)
        except InputError as error:
            exit_with_error(str(error))
        sys.stdout.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
