"""A stopping gateway answers all accepted requests before the platform may kill it."""

import signal
import time

import pytest

from standins.servers import EVENTS, Engine, chat, eventually, passes

# From the longest deadline, counted as 3 s at most, to SIGKILL.
KILL_AFTER_DEADLINE_S = 0.7
SILENT_CONNECTION_S = 1.8  # a connection without a request is closed shortly after this time


def never_respond(engine, message, wire):
    wire.gone()


def stream_without_end(engine, message, wire):
    """Start a stream that does not end."""
    wire.begin()
    while not wire.ended:
        wire.event(EVENTS[0])
        time.sleep(0.1)


@pytest.mark.parametrize("deadline_s", [1.0, 3.0])
@pytest.mark.parametrize("request_class", ["licence", "browse"])
def test_late_request_during_shutdown_is_answered_before_the_kill(site, request_class, deadline_s):
    """The first request on an accepted, silent connection is answered."""
    gateway = site(
        Engine("p"), Engine("d", plan=never_respond), release=True, give_up=int(deadline_s * 10**9)
    )
    with gateway.client() as client:
        passes(0.1)
        stopped = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        passes(min(deadline_s + KILL_AFTER_DEADLINE_S - 0.6, SILENT_CONNECTION_S))
        client.sock.settimeout(deadline_s + 5)
        chat(client, cls=request_class, timeout=int(deadline_s * 1000))
        client.answer()
        assert time.monotonic() - stopped < deadline_s + KILL_AFTER_DEADLINE_S


def test_streams_are_ended_before_the_kill(site):
    gateway = site(
        Engine("p"), Engine("d", plan=stream_without_end), release=True, resume=True, give_up=10**9
    )
    with gateway.client() as client:
        chat(client, timeout=1000)
        assert client.status() == 200
        stopped = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        assert not client.rest(200).whole
        assert time.monotonic() - stopped < 1 + KILL_AFTER_DEADLINE_S
    eventually(lambda: gateway.process.poll() == 0)
