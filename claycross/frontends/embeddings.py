"""The embeddings frontend: the public API for embeddings and rerank.

Its tasks run at background priority, so that chat tasks go first in each event loop iteration.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar, NamedTuple

from ..config.settings import EmbeddingsConfig
from ..interface import RequestArrived
from ..net.http1 import Head, encode_response
from ..net.loop import MS, SECOND, Connection, EventLoop
from ..requests.manager import RequestManager
from ..requests.memory_account import MemoryAccount, MemoryKind
from ..upstream.interface import UNFORWARDED_HEADERS, OutgoingRequest
from .base import ClientLimits, Frontend
from .embeddings_api import ApiRequest, parse_body, read_embeddings, read_rerank
from .errors import ErrorContent, RequestError, json_error
from .exchange import AcceptedRequest, ClientRequest, Exchange, ExchangeOwner

# Headers that are not forwarded: engines must not see a tenant's key, and get an id of their own.
WITHHELD_HEADERS = {"x-request-id", "authorization"}
DEADLINE_MARGIN_NS = 20 * MS  # a failure this close to the deadline is reported as a timeout
MAX_TIMEOUT_DIGITS = 9


class ApiEndpoint(NamedTuple):
    """One path of the API."""

    class_name: str  # request class in the settings
    read: Callable[[dict[str, Any]], ApiRequest]


ENDPOINTS = {
    "/v1/embeddings": ApiEndpoint("embeddings", read_embeddings),
    "/v1/rerank": ApiEndpoint("rerank", read_rerank),
}


class BufferedExchange(Exchange):
    """An exchange whose response is sent as one piece or not at all."""

    def __init__(self, frontend: ExchangeOwner, connection: Connection, close: bool, deadline: int):
        super().__init__(frontend, connection, close)
        self.memory = frontend.memory
        self.deadline = deadline

    def write(self, data: bytes) -> None:
        """Store the complete response, to be sent on finish()."""
        if not self.memory.charge(MemoryKind.RESPONSES, self, len(data)):
            return
        headers = [("Content-Type", "application/json")]
        self.pending_response = encode_response(200, headers, data, self.decide_closing())

    def finish(self, complete: bool) -> None:
        """Send the response, or an error if it is not complete."""
        if complete and self.pending_response:
            self.close_exchange()
        else:
            self.fail()

    def reject(self, retry_after: int) -> None:
        """Respond that the request may be sent again, or that its time is over."""
        if self.is_late():
            self.fail()
            return
        headers, body = json_error(
            503, "no server can take this now; it may be sent again", code="overloaded"
        )
        seconds = max(1, -(-retry_after // SECOND))  # rounded up
        self.respond(503, [*headers, ("Retry-After", str(seconds))], body)

    def fail(self) -> None:
        """Respond that the request failed, or timed out."""
        if self.is_late():
            status = 504
            headers, body = json_error(504, "no answer within the time allowed", code="timeout")
        else:
            status = 502
            headers, body = json_error(
                502, "the servers that were asked failed", code="upstream_failed"
            )
        self.respond(status, headers, body)

    def is_late(self) -> bool:
        """Return whether the request's deadline has passed."""
        return self.frontend.loop.now() >= self.deadline


class EmbeddingsFrontend(Frontend):
    """Serves POST /v1/embeddings and POST /v1/rerank."""

    background = True
    overloaded: ClassVar[dict[str, str]] = {"code": "overloaded"}

    def __init__(
        self,
        loop: EventLoop,
        manager: RequestManager,
        config: EmbeddingsConfig,
        memory: MemoryAccount,
        tenant_of: Callable[[Head], str] = lambda _: "",
    ):
        """Listen as configured; `tenant_of` authenticates a request and returns its tenant."""
        super().__init__(loop, manager, config.listen, ClientLimits(config.max_clients, memory))
        self.config = config
        self.tenant_of = tenant_of

    @staticmethod
    def format_error(status: int, message: str, **details: str) -> ErrorContent:
        """Return the headers and the body of an error response of the API."""
        return json_error(status, message, **details)

    def handle_request(
        self, connection: Connection, request: ClientRequest
    ) -> AcceptedRequest | None:
        """Validate a request and pass it to the request manager."""
        head = request.head
        endpoint = ENDPOINTS.get(request.path)
        if endpoint is None:
            raise RequestError(404, f"no such path: {request.path}")
        if head.method != "POST":
            raise RequestError(405, "POST only", [("Allow", "POST")])
        tenant = self.tenant_of(head)
        api_request = endpoint.read(parse_body(request.body))
        self.check_capacity()
        timeout = self.timeout_of(head, endpoint.class_name)
        time_left = timeout - (self.loop.now() - request.received_at)
        deadline = self.loop.now() + time_left - DEADLINE_MARGIN_NS
        exchange = BufferedExchange(self, connection, request.wants_close, deadline)
        key = f"{self.config.seed:x}-{self.manager.last_number + 1}"
        arrival = RequestArrived(
            request=0,  # the request manager assigns the number
            class_name=endpoint.class_name,
            time_left=max(0, time_left),
            prompt_tokens=api_request.tokens,
            tenant=tenant,
        )
        payload = self.outgoing_request(request, key, api_request)
        return self.accept(arrival, payload, exchange, key)

    def check_capacity(self) -> None:
        """Reject a request beyond the limit on open ones, which protects chat from overload."""
        if len(self.manager.requests) >= self.config.max_requests:
            self.manager.count("over-bound")
            raise RequestError(
                429, "too many requests are open", [("Retry-After", "1")], code="too_many_requests"
            )

    def outgoing_request(
        self, request: ClientRequest, key: str, api_request: ApiRequest
    ) -> OutgoingRequest:
        """Return the request as it is forwarded to an engine."""
        dropped = UNFORWARDED_HEADERS | WITHHELD_HEADERS
        headers = [field for field in request.head.raw_headers if field[0].lower() not in dropped]
        return OutgoingRequest(
            request.head.method,
            request.head.target,
            [*headers, ("X-Request-ID", key)],
            request.body,
            streams=False,
            max_response_bytes=self.config.max_response_bytes,
            background=True,
            is_complete=api_request.is_complete,
        )

    def timeout_of(self, head: Head, class_name: str) -> int:
        """Return a request's timeout: the one that it asks for, at most that of its class."""
        max_timeout_ns: int = self.manager.settings.classes[class_name].timeout
        text = head.get("x-timeout-ms") or str(max_timeout_ns // MS)
        if not text.isdigit() or len(text) > MAX_TIMEOUT_DIGITS:
            raise RequestError(400, "X-Timeout-Ms must be a whole number")
        return min(int(text) * MS, max_timeout_ns)
