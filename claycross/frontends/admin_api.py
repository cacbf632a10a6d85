"""The administration API, with which the operator lists and changes tenants."""

from __future__ import annotations

import hmac
import json
import re
from collections.abc import Callable
from typing import Any, NamedTuple

from ..config.settings import AdminConfig
from ..net.http1 import encode_response
from ..net.loop import SECOND, Connection, EventLoop
from ..requests.manager import RequestManager
from ..requests.memory_account import MemoryAccount
from .base import ClientLimits, Frontend
from .errors import ErrorContent, RequestError, json_error
from .exchange import AcceptedRequest, ClientRequest
from .tenants import Tenants, bearer_token, digest

__all__ = ["AdminFrontend", "Tenants"]

STATUS_PATH = "/admin/v1/status"
TENANTS_PATH = "/admin/v1/tenants"
TENANT_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}\Z")
MIN_KEY_LENGTH = 16  # characters of a tenant's key
MAX_KEY_LENGTH = 256
MAX_QUOTA_PER_S = 1e6  # requests per second
SEND_TIMEOUT_NS = SECOND  # for the client to take a response


class ApiResponse(NamedTuple):
    """The response to one API call."""

    status: int
    value: Any  # the body, as a JSON value; None for no body


def require_get(method: str) -> None:
    """Reject any method but GET."""
    if method != "GET":
        raise RequestError(405, "GET only", [("Allow", "GET")])


class AdminService(NamedTuple):
    """What the administration API shows and changes."""

    config: AdminConfig
    tenants: Tenants
    status: Callable[[], dict[str, Any]]  # returns the gateway's status


class AdminFrontend(Frontend):
    """Serves GET /admin/v1/status, and GET, PUT and DELETE under /admin/v1/tenants.

    Every call must carry the operator's token.
    """

    background = True

    def __init__(
        self,
        loop: EventLoop,
        manager: RequestManager,
        service: AdminService,
        memory: MemoryAccount,
    ):
        """Listen as configured."""
        config = service.config
        super().__init__(loop, manager, config.listen, ClientLimits(config.max_clients, memory))
        self.config = config
        self.tenants = service.tenants
        self.status = service.status

    @staticmethod
    def format_error(status: int, message: str, **details: str) -> ErrorContent:
        """Return the headers and the body of an error response."""
        return json_error(status, message, **details)

    def handle_request(
        self, connection: Connection, request: ClientRequest
    ) -> AcceptedRequest | None:
        """Authenticate and answer a call; nothing is passed to the request manager."""
        head = request.head
        if not hmac.compare_digest(digest(bearer_token(head)), self.config.token_digest):
            raise RequestError(
                401, "the operator's token is wanted", [("WWW-Authenticate", "Bearer")]
            )
        response = self.call(head.method, request.path, request.body)
        if response.value is None:
            headers, body = [], b""
        else:
            headers = [("Content-Type", "application/json")]
            body = json.dumps(response.value).encode() + b"\n"
        close = request.wants_close or self.draining
        connection.send(encode_response(response.status, headers, body, close), SEND_TIMEOUT_NS)
        return None

    def call(self, method: str, path: str, body: bytes) -> ApiResponse:
        """Execute a call."""
        if path == STATUS_PATH:
            require_get(method)
            return ApiResponse(200, self.status())
        if path == TENANTS_PATH:
            require_get(method)
            names = sorted(self.tenants.quotas)
            return ApiResponse(200, {"tenants": [self.tenants.show(name) for name in names]})
        root, _, name = path.rpartition("/")
        if root != TENANTS_PATH:
            raise RequestError(404, "no such path")
        return self.call_tenant(method, name, body)

    def call_tenant(self, method: str, name: str, body: bytes) -> ApiResponse:
        """Show, change or remove one tenant."""
        if method not in ("GET", "PUT", "DELETE"):
            raise RequestError(405, "GET, PUT or DELETE", [("Allow", "GET, PUT, DELETE")])
        if not TENANT_NAME.match(name):
            raise RequestError(
                400, "a tenant's name is lower-case letters, digits and dashes", param="name"
            )
        exists = name in self.tenants.quotas
        if method == "PUT":
            return self.put(name, exists, body)
        if not exists:
            raise RequestError(404, "no such tenant")
        if method == "DELETE":
            self.tenants.remove(name)
            self.save()
            return ApiResponse(204, None)
        return ApiResponse(200, self.tenants.show(name))

    def put(self, name: str, exists: bool, body: bytes) -> ApiResponse:
        """Add a tenant, or change its quota and, if one is given, its key."""
        try:
            fields = json.loads(body)
            quota = float(fields["quota_per_s"])
            key = fields.get("key")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            raise RequestError(400, "quota_per_s must be a number", param="quota_per_s") from None
        if not 0 < quota <= MAX_QUOTA_PER_S:
            raise RequestError(400, "quota_per_s must be over 0", param="quota_per_s")
        self.tenants.put(name, quota, self.new_key_digest(name, exists, key))
        self.save()
        return ApiResponse(200 if exists else 201, self.tenants.show(name))

    def new_key_digest(self, name: str, exists: bool, key: Any) -> str:
        """Return the digest of a tenant's new key; an existing tenant may keep the key it has."""
        if key is None and exists:
            return self.tenants.key_digest_of(name)
        if not isinstance(key, str) or not MIN_KEY_LENGTH <= len(key) <= MAX_KEY_LENGTH:
            raise RequestError(400, "key must be a text of 16 to 256 characters", param="key")
        key_digest = digest(key)
        if self.tenants.owner_of(key_digest) not in (None, name):
            raise RequestError(409, "another tenant has this key", param="key")
        return key_digest

    def save(self) -> None:
        """Save the tenants' file; on failure, report that the change is lost at a restart."""
        try:
            self.tenants.save()
        except OSError as error:
            self.manager.log(f"tenants-write-failed file={self.tenants.path} {error.strerror}")
            raise RequestError(500, "changed here, but not saved: a restart forgets it") from None
