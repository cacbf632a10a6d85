"""The endpoint list: first as it was saved, then as a watch on the platform's discovery reports it.

This module parses discovery's messages, runs each watch from its connection to its end
(docs/lifecycles.md), reconnects, and moves to another address on reload. It keeps four rules: the
list is never dropped because discovery is silent; an address is watched until the next one has sent
a value; a revision is valid only at the address that reported it; and invalid data leads to a
logged retry, never to more.

A change counts as delivered 6 s after discovery had it, whether it arrived or not. A watch is
closed IDLE_TIMEOUT_NS after its last complete value, and one that sends nothing at all after the
first response timeout. With the back-off and a connect between them, a first watch that falls
silent and a second that never responds leave time for a third. To tell a slow discovery from a
silent one, a watch that timed out before its first response is read for a while longer: if the
response does come, its delay extends the first response timeout of the next watches.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from ..interface import EndpointListUpdate, EngineEndpoint, EngineState, UpdateKind
from ..net.address import Address, Endpoint
from ..net.http1 import Body, End, Head, MalformedMessageError, MessageParser, encode_request
from ..net.line_protocol import JsonValueParser, LineTooLongError
from ..net.loop import MS, SECOND, Connection, ConnectionClosedError, EventLoop, TimeoutExpired
from .engine_incarnations import NOT_ANNOUNCED, UNKNOWN

EndpointListener = Callable[[EndpointListUpdate, dict[str, Endpoint]], None]

CONNECT_TIMEOUT_NS = SECOND
MIN_BACK_OFF_NS = 100 * MS
MAX_BACK_OFF_NS = SECOND
IDLE_TIMEOUT_NS = 3 * SECOND  # discovery sends at least a blank line every 2 s
FIRST_RESPONSE_TIMEOUT_NS = SECOND  # discovery usually responds at once
MAX_FIRST_RESPONSE_TIMEOUT_NS = 3 * SECOND
FIRST_RESPONSE_MARGIN = 2  # factor from the last first response's delay to the next timeout
FAILURES_PER_LOG_LINE = 10  # of failures in a row, the first and then every tenth are logged
MAX_VALUE_BYTES = 4 << 20
MAX_RESPONSE_BYTES = 1 << 62  # a watch's response has no end
# A list of more entries is parsed in one iteration of the event loop and applied in the next.
LARGE_LIST_ENTRIES = 500
MAX_BOOT_MS = 10**14  # Unix time in the year 5138: no later start time is valid
STATES = {
    "Ready": EngineState.READY,
    "Terminating": EngineState.DRAINING,
    "Gone": EngineState.REMOVED,
}


class SilentWatchError(ConnectionClosedError):
    """A watch that has sent values is silent for longer than it may be."""


class DiscoveryDataError(Exception):
    """Discovery sent data that can't be parsed."""


# What parsing raises where JSON has other types or values than expected.
PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class DiscoveryMessage(NamedTuple):
    """One parsed message of discovery."""

    version: int
    update: EndpointListUpdate
    endpoints: dict[str, Endpoint]  # engine -> where it listens
    error: str = ""  # why some entries could not be parsed; empty: all were


def read_targets(message: Any, kind: UpdateKind | None = None) -> DiscoveryMessage:
    """Parse a message; an entry that can't be parsed is left out and reported in `error`.

    Raises:
        DiscoveryDataError: If the message as a whole can't be parsed.
    """
    entries = []
    endpoints = {}
    errors = []
    try:
        version = int(message["rev"])
        targets = list(message["targets"])
        if kind is None:
            kind = UpdateKind.FULL if message.get("all") else UpdateKind.CHANGES
    except PARSE_ERRORS as err:
        raise DiscoveryDataError(f"{type(err).__name__} {err}") from None
    for target in targets:
        try:
            entry, endpoint = read_target(target)
        except (*PARSE_ERRORS, DiscoveryDataError) as err:
            errors.append(f"{type(err).__name__} {err}")
            continue
        entries.append(entry)
        if endpoint:
            endpoints[entry.engine] = endpoint
    error = errors[0] if errors else ""
    if len(errors) > 1:
        error = f"{error} (the first of {len(errors)} invalid entries)"
    return DiscoveryMessage(version, EndpointListUpdate(kind, entries), endpoints, error)


def read_target(target: Any) -> tuple[EngineEndpoint, Endpoint | None]:
    """Parse one entry; an engine that is removed has no endpoint."""
    engine = str(target["uid"])
    state = STATES.get(target["state"])
    if state is None:
        raise DiscoveryDataError(f"state {target['state']!r} is not known")
    boot = read_boot(target.get("boot_ms"))
    endpoint = None
    if state != EngineState.REMOVED:
        host, _, port = str(target["endpoint"]).rpartition(":")
        endpoint = Endpoint(host, int(port), str(target.get("protocol") or ""), boot)
    entry = EngineEndpoint(
        engine,
        str(target.get("model", "")),
        state,
        str(target.get("az", "")),
        int(target.get("pod_group") or 0),
        size=float(target.get("capacity_hint") or 1),
        incarnation=boot,
    )
    return entry, endpoint


def read_boot(boot_ms: Any) -> int:
    """Return a start time in nanoseconds of Unix time.

    NOT_ANNOUNCED (0) where it is missing, UNKNOWN where the number is no possible time. Text that
    is not a number makes the whole entry invalid.
    """
    if boot_ms is None:
        return NOT_ANNOUNCED
    number = float(boot_ms)
    if not (0 <= number <= MAX_BOOT_MS and number == int(number)):
        return UNKNOWN
    return int(boot_ms) * MS


class FirstResponseTimeout:
    """How long a watch may take for its first response, adapted to the delay of the last one.

    Times are nanoseconds; `current` stays between `minimum` and `maximum`.
    """

    def __init__(self, minimum: int, maximum: int):
        self.minimum = minimum
        self.maximum = max(minimum, maximum)
        self.current = minimum

    def record(self, delay: int) -> None:
        """Adapt to a first response, which may have come after its watch had timed out."""
        self.current = min(self.maximum, max(self.minimum, FIRST_RESPONSE_MARGIN * delay))


class ResponseParser:
    """Parses the JSON values in the body of one HTTP response."""

    def __init__(self) -> None:
        self.messages = MessageParser(
            responses=True, max_body=MAX_RESPONSE_BYTES, max_chunk=MAX_VALUE_BYTES
        )
        self.values = JsonValueParser(MAX_VALUE_BYTES)
        self.is_complete = False

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; return the values that they complete, b"" for a blank line between two.

        Raises:
            DiscoveryDataError: If this is no valid response, or its status is not 200.
        """
        values: list[bytes] = []
        try:
            for part in self.messages.feed(data):
                if isinstance(part, Head) and part.status != 200:
                    raise DiscoveryDataError(f"status {part.status}")
                if isinstance(part, Body):
                    values += self.values.feed(part.data)
                if isinstance(part, End):
                    values.append(self.values.end())
                    self.is_complete = True
        except (LineTooLongError, MalformedMessageError) as err:
            raise DiscoveryDataError(str(err)) from None
        return values


class DiscoveryWatch:
    """Watches the platform's discovery and passes each update to all listeners.

    Args:
        loop: The event loop.
        address: The address of discovery.
        listeners: Called with each update and with the addresses of its engines.
        log: Writes a line to the log.
        connect_timeout: Nanoseconds for a connect.
        max_back_off: Nanoseconds between two watches at most. Like the connect, it delays the
            changes that discovery has in that time.
    """

    idle_timeout = IDLE_TIMEOUT_NS
    min_first_response_timeout = FIRST_RESPONSE_TIMEOUT_NS
    max_first_response_timeout = MAX_FIRST_RESPONSE_TIMEOUT_NS

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        listeners: list[EndpointListener],
        log: Callable[[str], None],
        connect_timeout: int = CONNECT_TIMEOUT_NS,
        max_back_off: int = MAX_BACK_OFF_NS,
    ):
        self.loop = loop
        self.address = address
        self.listeners = listeners
        self.log = log
        self.connect_timeout = connect_timeout
        self.max_back_off = max_back_off
        self.version = 0  # of the list
        self.version_source = address  # the address that reported this version
        self.failures = 0  # in a row
        self.back_off = 0
        self.reset_back_off()
        self.last_message_at = 0  # 0: discovery has sent nothing yet
        self.previous_message_at = 0  # when the message before the last one came
        self.generation = 0  # counts the moves to another address
        self.latest_responding = 0  # the latest generation whose watch has sent a value
        # By generation: two while a move is under way.
        self.connections: dict[int, Connection] = {}
        self.polled_generation = -1  # the generation in which a poll is under way; -1: none is
        self.first_response_timeout = FirstResponseTimeout(
            self.min_first_response_timeout, self.max_first_response_timeout
        )

    def reset_back_off(self) -> None:
        """Go back to the shortest wait between two watches."""
        self.back_off = min(MIN_BACK_OFF_NS, self.max_back_off)
        self.failures = 0

    def start_from(self, saved_list: Any) -> None:
        """Publish the list that was saved last, or an empty one if it can't be parsed."""
        if not saved_list:
            saved_list = {"rev": 0, "targets": []}
        try:
            message = read_targets(saved_list, UpdateKind.SAVED)
        except DiscoveryDataError as err:
            message = DiscoveryMessage(0, EndpointListUpdate(UpdateKind.SAVED), {}, str(err))
        if message.error:
            self.log(f"discovery-invalid source=known {message.error}")
        # Where some of it could not be parsed, the full list is requested.
        self.version = 0 if message.error else message.version
        self.notify(message.update, message.endpoints)

    def notify(self, update: EndpointListUpdate, endpoints: dict[str, Endpoint]) -> None:
        """Pass an update to all listeners."""
        for listener in self.listeners:
            listener(update, endpoints)

    def watch_for_ever(self) -> None:
        """Watch again and again, until discovery's address changes."""
        generation = self.generation
        while generation == self.generation:
            try:
                self.watch()
            except (ConnectionClosedError, MalformedMessageError, DiscoveryDataError) as err:
                if generation != self.generation:
                    return
                if self.failures % FAILURES_PER_LOG_LINE == 0:
                    self.log(
                        f"discovery-lost rev={self.version} wait_ms={self.back_off // MS} "
                        f"tries={self.failures + 1} {err}"
                    )
                self.failures += 1
            self.loop.sleep(self.back_off)
            self.back_off = min(2 * self.back_off, self.max_back_off)

    def watch_once(self, ended: Callable[[], None]) -> None:
        """Watch until that ends, and call `ended`, for a chat router that polls for the list."""
        if self.polled_generation == self.generation:
            return
        generation = self.generation
        self.polled_generation = generation
        try:
            self.watch()
        except (ConnectionClosedError, MalformedMessageError, DiscoveryDataError) as err:
            if generation == self.generation:
                self.log(f"discovery-lost rev={self.version} {err}")
        finally:
            if generation == self.generation:
                self.polled_generation = -1
                ended()

    def move(self, address: Address) -> bool:
        """Set another address for the next watch, which the caller starts; False: it is the same.

        The watch at the old address goes on until the new one has sent a value: no change is missed
        between the two, and a new address that does not respond costs nothing while the old one
        does.
        """
        if address == self.address:
            return False
        self.address = address
        self.reset_back_off()
        for generation in list(self.connections):
            if generation != self.latest_responding:  # an earlier move that got no response
                self.connections[generation].close()
        self.generation += 1
        return True

    def watch(self) -> None:
        """Run one watch until it ends, which is always an exception."""
        address = self.address
        for value in self.values("GET", f"/api/targets?watch=1&from={self.version_at(address)}"):
            self.handle_value(value, address)
        raise ConnectionClosedError("the watch ended")

    def version_at(self, address: Address) -> int:
        """Return the list's version if that address reported it, else 0."""
        return self.version if self.version_source == address else 0

    def values(self, method: str, target: str, body: bytes = b"") -> Iterator[bytes]:
        """Send a request on a connection of its own, and yield the values of its response.

        Only a complete value, or a blank line between two, shows that discovery is alive, so that
        bytes which never make up a value can't hold the watch open.
        """
        generation = self.generation
        address = self.address
        connection = Connection.dial(self.loop, address, self.connect_timeout)
        parser = ResponseParser()
        requested_at = 0
        has_timed_out_early = False
        try:
            if generation != self.generation:
                raise ConnectionClosedError("discovery's address has changed")
            self.connections[generation] = connection
            headers = [("Host", f"{address[0]}:{address[1]}")]
            request = encode_request(method, target, headers, body)
            connection.send(request, self.connect_timeout)
            requested_at = self.loop.now()
            last_value_at = 0
            while not parser.is_complete:
                remaining = self.receive_deadline(requested_at, last_value_at) - self.loop.now()
                if remaining <= 0:
                    has_timed_out_early = not last_value_at
                    error_type = ConnectionClosedError if has_timed_out_early else SilentWatchError
                    raise error_type("silent")
                data = self.receive(connection, remaining)
                values = parser.feed(data) if data else []
                if values:
                    if not last_value_at:
                        self.first_response_timeout.record(self.loop.now() - requested_at)
                    last_value_at = self.loop.now()
                    self.record_values(generation, last_value_at, values)
                    yield from values
        finally:
            if has_timed_out_early:
                self.loop.spawn(self.await_late_response, connection, parser, requested_at)
            else:
                connection.close()
            if self.connections.get(generation) is connection:
                del self.connections[generation]

    def receive_deadline(self, requested_at: int, last_value_at: int) -> int:
        """Return when a watch that stays silent is to be closed.

        It may become later while the watch waits: another one may extend the first response
        timeout.
        """
        if last_value_at:
            return last_value_at + self.idle_timeout
        return requested_at + self.first_response_timeout.current

    def receive(self, connection: Connection, timeout: int) -> bytes:
        """Return the next bytes, or none if they don't arrive in time.

        Raises:
            ConnectionClosedError: If the connection has ended.
        """
        try:
            data = connection.recv(timeout)
        except TimeoutExpired:
            return b""
        if not data:
            raise ConnectionClosedError("the connection ended")
        return data

    def record_values(self, generation: int, now: int, values: list[bytes]) -> None:
        """Record that discovery is alive, and end the watches at earlier addresses.

        Those are kept until this one has sent a value that is not a blank line.
        """
        self.previous_message_at = self.last_message_at
        self.last_message_at = now
        if any(values) and generation > self.latest_responding:
            self.latest_responding = generation
            outdated = [c for number, c in self.connections.items() if number < generation]
            for connection in outdated:
                connection.close()

    def await_late_response(
        self, connection: Connection, parser: ResponseParser, requested_at: int
    ) -> None:
        """Read a watch that timed out before its first response, to measure the response's delay.

        It is closed after the longest timeout that a first response can be given.
        """
        timeout = self.first_response_timeout
        deadline = requested_at + timeout.maximum
        try:
            while (remaining := deadline - self.loop.now()) > 0 and (
                data := connection.recv(remaining)
            ):
                if parser.feed(data):
                    delay = self.loop.now() - requested_at
                    timeout.record(delay)
                    self.log(
                        f"discovery-slow first_response_ms={delay // MS} "
                        f"timeout_ms={timeout.current // MS}"
                    )
                    return
        except DiscoveryDataError:
            return
        finally:
            connection.close()

    def handle_value(self, value: bytes, address: Address) -> None:
        """Parse and apply one value of a watch; an empty one only shows that discovery is alive."""
        self.reset_back_off()
        if not value:
            return
        try:
            message = json.loads(value)
        except (ValueError, RecursionError) as err:
            raise DiscoveryDataError(str(err)) from None
        self.apply_message(message, address)

    def apply_message(self, message: Any, address: Address) -> None:
        """Publish a message's update, unless it is older than the list."""
        parsed = read_targets(message)
        if len(parsed.update.entries) > LARGE_LIST_ENTRIES:
            self.yield_to_other_tasks()
        version = parsed.version
        listed_version = self.version_at(address)
        if parsed.update.kind == UpdateKind.CHANGES and version < listed_version:
            # Applied, it would bring back outdated states: the full list is requested instead.
            self.version = 0
            raise DiscoveryDataError(f"rev {version} behind {listed_version}")
        update = parsed.update
        self.log(f"discovery rev={version} kind={update.kind} entries={len(update.entries)}")
        self.notify(update, parsed.endpoints)
        if parsed.error:
            # The version stays as it was, so that the next watch sends these changes again.
            raise DiscoveryDataError(parsed.error)
        self.version = version
        self.version_source = address

    def yield_to_other_tasks(self) -> None:
        """Let other tasks run before a large list is applied.

        Raises:
            ConnectionClosedError: If a watch at a later address has sent a value by then.
        """
        latest_responding = self.latest_responding
        self.loop.sleep(0)
        if self.latest_responding != latest_responding:
            raise ConnectionClosedError("a watch at a later address has responded")
