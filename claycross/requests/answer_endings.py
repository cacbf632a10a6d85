"""Ends the answers that are still under way when their process stops.

Where clients resume streams, these are handed back over some time. Shortly before the kill, what
must not be under way then is ended in a way that its client can tell.
"""

from __future__ import annotations

from .. import interface as i
from .manager import RequestManager
from .records import Attempt, Request


def hand_back_streams(manager: RequestManager, remaining_calls: int) -> None:
    """End a share of the streams, so that none is left after the remaining calls of this.

    It has an effect only where clients resume streams. Streams of silent engines are ended first,
    then those that started last, which have the most left to send.
    """
    if not manager.settings.clients_resume:
        return
    running = manager.registry.running_streams()
    running.sort(key=lambda stream: (not is_silent(manager, stream), -stream.started_at))
    stream_count = -(-len(running) // remaining_calls)  # rounded up
    for attempt in running[:stream_count]:
        manager.count("handed-back")
        manager.end_stream(attempt)


def is_silent(manager: RequestManager, stream: Attempt) -> bool:
    """Return whether a stream pauses for longer than any of its class did."""
    silent_for = manager.clock.now() - stream.last_event_at
    return manager.arrivals.shutdown.is_silent(stream.request.class_name, silent_for)


def end_late_answers(manager: RequestManager) -> None:
    """End what must not be under way at the kill.

    A stream ends without its last chunk; a request without a response is rejected, or failed if it
    may have run.
    """
    for request in list(manager.requests.values()):
        if request.finished or not must_end(manager, request):
            continue
        manager.count("ended-stopping")
        if request.streaming_attempt:
            manager.end_stream(request.streaming_attempt)
        else:
            manager.reject_request(i.RejectRequest(request.number, 0, "stopping"))
            manager.enqueue(i.RequestAbandoned(request.number))


def must_end(manager: RequestManager, request: Request) -> bool:
    """Return whether a request must not be under way at the kill."""
    stream = request.streaming_attempt
    last_event_at = stream.last_event_at if stream else request.received_at
    silent_for = manager.clock.now() - last_event_at
    return manager.arrivals.shutdown.must_end(request.class_name, request.received_at, silent_for)
