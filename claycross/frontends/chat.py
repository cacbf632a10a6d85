"""The chat frontend: chat completions, and the platform's readiness check."""

from __future__ import annotations

import re
from collections.abc import Callable

from ..interface import RequestArrived
from ..net.address import Address
from ..net.http1 import encode_response
from ..net.loop import MS, Connection, EventLoop
from ..requests.manager import RequestManager
from ..upstream.interface import UNFORWARDED_HEADERS, OutgoingRequest
from .base import ClientLimits, Frontend
from .errors import RequestError, plain_text
from .exchange import SEND_TIMEOUT_NS, AcceptedRequest, ClientRequest, Exchange

CHAT_PATH = "/v1/chat/completions"
READY_PATH = "/-/ready"
WHOLE_NUMBER = re.compile(r"[0-9]{1,9}\Z", re.ASCII)
MAX_KEY_LENGTH = 128  # characters of ids and keys, which are used as keys of tables
KEY_PUNCTUATION = "-_.~:"  # allowed in a request's id besides letters and digits


def is_request_id(text: str) -> bool:
    """Return whether a request's id has an allowed length and only allowed characters."""
    return 0 < len(text) <= MAX_KEY_LENGTH and all(
        character.isascii() and (character.isalnum() or character in KEY_PUNCTUATION)
        for character in text
    )


def parse_attributes(text: str) -> dict[str, str]:
    """Parse the value of X-Attrs: `name=value` pairs separated by commas."""
    attributes = {}
    for pair in text.split(","):
        if pair:
            name, _, value = pair.strip().partition("=")
            attributes[name] = value
    return attributes


class ChatFrontend(Frontend):
    """Serves POST /v1/chat/completions and the platform's readiness check."""

    def __init__(
        self,
        loop: EventLoop,
        manager: RequestManager,
        listen: Address,
        limits: ClientLimits,
        *,
        ready: Callable[[], bool] = lambda: True,
        inherited_descriptor: int | None = None,
    ):
        """Listen like every frontend; `ready` returns whether the gateway is ready for clients."""
        super().__init__(loop, manager, listen, limits, inherited_descriptor)
        self.ready = ready

    def handle_request(
        self, connection: Connection, request: ClientRequest
    ) -> AcceptedRequest | None:
        """Answer a readiness check, or pass a chat request to the request manager."""
        head = request.head
        if request.path == READY_PATH:
            self.answer_readiness(connection, request)
            return None
        if request.path != CHAT_PATH:
            raise RequestError(404, "no such path")
        if head.method != "POST":
            raise RequestError(405, "POST only", [("Allow", "POST")])
        arrival = self.parse_arrival(request)
        headers = [
            field for field in head.raw_headers if field[0].lower() not in UNFORWARDED_HEADERS
        ]
        payload = OutgoingRequest(head.method, head.target, headers, request.body)
        exchange = Exchange(self, connection, request.wants_close)
        key = head.get("x-request-id")
        return self.accept(arrival, payload, exchange, key, request.completed_at)

    def answer_readiness(self, connection: Connection, request: ClientRequest) -> None:
        """Answer the platform's readiness check."""
        if request.head.method != "GET":
            raise RequestError(405, "GET only", [("Allow", "GET")])
        ready = self.ready()
        status = 200 if ready else 503
        headers, body = plain_text(status, "ready" if ready else "not ready")
        close = request.wants_close or self.draining
        connection.send(encode_response(status, headers, body, close), SEND_TIMEOUT_NS)

    def parse_arrival(self, request: ClientRequest) -> RequestArrived:
        """Validate the headers of a chat request and return its description for routing."""
        head = request.head
        key = head.get("x-request-id")
        if not is_request_id(key):
            raise RequestError(400, "X-Request-ID is missing or malformed")
        if self.manager.is_in_flight(key):  # it must not run twice
            raise RequestError(409, "a request with this X-Request-ID is under way")
        # Every engine would reject a request of an unknown class: rejected here, thousands of them
        # don't use up capacity for valid ones.
        class_name = head.get("x-priority-class")
        priority_class = self.manager.settings.classes.get(class_name)
        if priority_class is None:
            raise RequestError(400, "X-Priority-Class names no class of this service")
        timeout = head.get("x-timeout-ms") or str(priority_class.timeout // MS)
        attributes = parse_attributes(head.get("x-attrs"))
        prompt_length, prefix_length, max_output = (
            attributes.get(name) or "0" for name in ("prompt_len", "prefix_len", "max_out")
        )
        numbers = (timeout, prompt_length, prefix_length, max_output)
        if not all(WHOLE_NUMBER.match(text) for text in numbers):
            raise RequestError(400, "X-Timeout-Ms and the lengths in X-Attrs must be whole numbers")
        session = head.get("x-route-key")
        prefix = attributes.get("prefix", "")
        if max(len(session), len(prefix)) > MAX_KEY_LENGTH:
            raise RequestError(400, "X-Route-Key or the prefix in X-Attrs is too long")
        # The client's timeout has been running since its request arrived.
        time_left = int(timeout) * MS - (self.loop.now() - request.received_at)
        return RequestArrived(
            request=0,  # the request manager assigns the number
            class_name=class_name,
            time_left=max(0, time_left),
            prompt_tokens=int(prompt_length),
            session=session,
            prefix=prefix,
            prefix_tokens=int(prefix_length),
            max_output_tokens=int(max_output),
            tenant=head.get("x-tenant-id"),
            is_retry=head.get("x-retried") == "1",
        )
