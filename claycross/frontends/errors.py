"""Errors that a frontend answers itself, and the formats of their responses."""

from __future__ import annotations

import json

Headers = list[tuple[str, str]]
ErrorContent = tuple[Headers, bytes]  # headers and body of a response

# The `type` of an error in the embeddings API, by status.
JSON_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "invalid_request_error",
    405: "invalid_request_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}
FIRST_SERVER_ERROR = 500


class RequestError(Exception):
    """A request is answered with an error before it reaches the request manager."""

    def __init__(self, status: int, message: str, headers: Headers | None = None, **details: str):
        super().__init__(message)
        self.status = status
        self.headers = headers or []
        self.details = details


class CapacityError(RequestError):
    """A request is rejected for lack of memory; nothing of it has run, so it may be sent again."""

    def __init__(self, message: str, details: dict[str, str], closes: bool = False):
        """`closes`: the connection is closed, since the rest of the request is not read."""
        super().__init__(503, message, None, **details)
        self.closes = closes


def plain_text(_status: int, message: str, **_: str) -> ErrorContent:
    """Return an error's headers and body as plain text."""
    return [("Content-Type", "text/plain; charset=utf-8")], message.encode() + b"\n"


def json_error(
    status: int, message: str, param: str | None = None, code: str | None = None
) -> ErrorContent:
    """Return an error's headers and body in the JSON format of the embeddings API."""
    default_type = "invalid_request_error" if status < FIRST_SERVER_ERROR else "server_error"
    error_type = JSON_ERROR_TYPES.get(status, default_type)
    body = {"error": {"message": message, "type": error_type, "param": param, "code": code}}
    return [("Content-Type", "application/json")], json.dumps(body).encode() + b"\n"
