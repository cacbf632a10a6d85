"""A reserved state is used by a write that has arrived, or released in time."""

import signal
import threading
import time

import pytest

from standins.servers import Engine, chat, eventually, passes
from tests.requests.concurrent_requests import CLIENT_TIMEOUT_MS, send_requests

RELEASE_TIME_S = 0.3  # as in the settings
SOCKET_GRACE_S = 0.35  # added by the protocol's specification


class StateReader(Engine):
    """A working reader that records when each state was reserved."""

    def __init__(self):
        super().__init__("p")
        self.reserved_since: dict[str, float] = {}

    def take(self, message, wire):
        super().take(message, wire)
        if not message.start.startswith("DELETE"):
            self.reserved_since[message["X-Request-ID"]] = time.monotonic()


class SilentWriter(Engine):
    """A writer whose process is suspended: connections are established, but nothing is read."""

    def __init__(self):
        super().__init__("d")
        self.running = threading.Event()

    def talk(self, wire):
        self.running.wait(20)
        super().talk(wire)


class ReleaseLog:
    """Records when each request's state was first released, at any of the engines."""

    def __init__(self, *engines):
        self.released_at: dict[str, float] = {}
        for engine in engines:
            engine.take = self.recording(engine.take)

    def recording(self, take):
        def record_release(message, wire):
            if message.start.startswith("DELETE"):
                key = message.start.split()[1].rpartition("/")[2]
                self.released_at.setdefault(key, time.monotonic())
            take(message, wire)

        return record_release


def reserved_for(reader, release_log, key):
    return release_log.released_at.get(key, float("inf")) - reader.reserved_since[key]


@pytest.mark.parametrize("warm_connections", [False, True], ids=["cold", "warm"])
def test_state_is_released_while_its_write_is_at_a_suspended_writer(site, warm_connections):
    reader, writers = StateReader(), [SilentWriter() for _ in range(4)]
    release_log = ReleaseLog(reader)
    gateway = site(reader, *writers, release=True)
    if warm_connections:
        for writer in writers:
            writer.running.set()
        for index in range(12):
            assert gateway.chat(cls="licence", key=f"warm{index:04x}").status == 200
        for writer in writers:
            writer.running.clear()
            writer.close_connections()
    keys, statuses, threads = send_requests(gateway, "licence", "browse")
    for thread in threads:
        thread.join()
    for writer in writers:
        writer.running.set()
    late = {
        key: reserved_for(reader, release_log, key)
        for key in keys
        if reserved_for(reader, release_log, key) > RELEASE_TIME_S + SOCKET_GRACE_S
    }
    assert not late, late
    assert sorted(statuses) == keys  # each client got one answer


@pytest.mark.parametrize("event", ["full buffer", "shutdown", "disconnect"])
def test_state_is_released_whatever_happens_while_its_writer_is_suspended(site, event):
    """The events: a body larger than the writer's socket buffer, a shutdown of the gateway, and a
    disconnect of the client."""
    reader, writers = StateReader(), [SilentWriter() for _ in range(2)]
    release_log = ReleaseLog(reader)
    gateway = site(reader, *writers, release=True)
    body = b"x" * 250_000 if event == "full buffer" else b"{}"
    with gateway.client() as client:
        chat(client, cls="licence", key="crossed01", timeout=CLIENT_TIMEOUT_MS, body=body)
        eventually(lambda: "crossed01" in reader.reserved_since)
        if event == "shutdown":
            gateway.process.send_signal(signal.SIGTERM)
        elif event == "disconnect":
            passes(0.1)
            client.__exit__()
        eventually(lambda: "crossed01" in release_log.released_at, 2)
    for writer in writers:
        writer.running.set()
    assert reserved_for(reader, release_log, "crossed01") <= RELEASE_TIME_S + SOCKET_GRACE_S


def test_slow_writer_keeps_its_state(site):
    """Engines ignore a release for a state that an attempt waits for: no prompt is read again, and
    no request of class licence is sent twice."""

    def stream_late(engine, message, wire):
        threading.Event().wait(1.5)
        wire.stream()

    reader, writers = StateReader(), [Engine("d", plan=stream_late) for _ in range(2)]
    gateway = site(reader, *writers, release=True)
    keys, statuses, threads = send_requests(gateway, "licence", "browse")
    for thread in threads:
        thread.join()
    assert statuses == dict.fromkeys(keys, 200)
    assert sorted(m["X-Request-ID"] for m in reader.asked) == keys
    licences = [key for key in keys if key.startswith("licence")]
    sent = [m["X-Request-ID"] for w in writers for m in w.asked]
    assert sorted(key for key in sent if key in licences) == licences
