"""Requests that are sent to a gateway at the same time, each by a client of its own."""

import contextlib
import threading

from standins.servers import chat

CLIENT_TIMEOUT_MS = 3000
REQUESTS_PER_CLASS = 4


def send_request(gateway, key, request_class, statuses):
    with gateway.client() as client, contextlib.suppress(OSError, IndexError):
        sent = chat(client, cls=request_class, key=key, timeout=CLIENT_TIMEOUT_MS)
        statuses[key] = sent.answer().status


def send_requests(gateway, *request_classes):
    """Send REQUESTS_PER_CLASS requests of each class at once.

    Returns:
        Their keys, their statuses as they arrive, and the threads.
    """
    statuses = {}
    keys = {
        f"{request_class}{index:04x}": request_class
        for request_class in request_classes
        for index in range(REQUESTS_PER_CLASS)
    }
    threads = [
        threading.Thread(target=send_request, args=(gateway, key, request_class, statuses))
        for key, request_class in keys.items()
    ]
    for thread in threads:
        thread.start()
    return sorted(keys), statuses, threads
