"""Serializes HTTP/1.1 requests, responses and chunks."""

from __future__ import annotations

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REASON_PHRASES = {
    200: "OK",
    201: "Created",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


def encode_request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return the request as bytes."""
    return encode_request_head(method, target, headers, len(body)) + body


def encode_request_head(
    method: str, target: str, headers: list[tuple[str, str]], body_size: int
) -> bytes:
    """Return the head of a request whose body has `body_size` bytes."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body_size or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {body_size}")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END


def encode_response(
    status: int,
    headers: list[tuple[str, str]] | None = None,
    body: bytes | None = b"",
    close: bool = False,
) -> bytes:
    """Return the response as bytes; if `body` is None, only the head of a chunked response."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers or []]
    lines.append("Transfer-Encoding: chunked" if body is None else f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Return the data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
