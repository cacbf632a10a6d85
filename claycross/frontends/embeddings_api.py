"""Validation of request and response bodies of the embeddings and rerank API.

The module does no I/O: it gets request bodies as parsed JSON and responses as bytes.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any, NamedTuple

from .errors import RequestError

# The index of one entry of a response. It can't match inside a string, where quotes are escaped.
INDEX_FIELD = re.compile(rb'"index"\s*:\s*(\d{1,9})')
CHARACTERS_PER_TOKEN = 4  # an estimate
MAX_TEXTS = 2048  # per request


class ApiRequest(NamedTuple):
    """The size of a valid request, and the check of its response."""

    tokens: int  # estimated size
    is_complete: Callable[[bytes], bool]  # whether a response to it is complete


def parse_body(data: bytes) -> dict[str, Any]:
    """Return the body of a request, which must be a JSON object that names a model."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        raise RequestError(400, "the body is not JSON") from None
    if not isinstance(body, dict):
        raise RequestError(400, "the body must be an object")
    if not isinstance(body.get("model"), str) or not body["model"]:
        raise RequestError(400, "model must be a text", param="model")
    return body


def read_embeddings(body: dict[str, Any]) -> ApiRequest:
    """Validate a request for embeddings."""
    count = count_texts(body)
    if count > MAX_TEXTS:
        raise RequestError(400, f"input holds more than {MAX_TEXTS} texts", param="input")

    def is_complete(data: bytes) -> bool:
        return response_indices(data) == list(range(count))

    return ApiRequest(count_tokens(body["input"]), is_complete)


def count_texts(body: dict[str, Any]) -> int:
    """Return the number of embeddings requested.

    Raises:
        RequestError: If `input` has none of the forms that the API allows.
    """
    input_value = body.get("input")
    if isinstance(input_value, str) and input_value:
        return 1
    if isinstance(input_value, list) and input_value:
        if all(isinstance(token, int) and not isinstance(token, bool) for token in input_value):
            return 1  # one text in tokens
        if all(isinstance(text, str) and text for text in input_value):
            return len(input_value)
        if all(is_token_list(text) for text in input_value):
            return len(input_value)
    raise RequestError(400, "input must be a text, an array of texts, or tokens", param="input")


def is_token_list(value: Any) -> bool:
    """Return whether a value is one text in tokens."""
    return isinstance(value, list) and bool(value) and all(type(token) is int for token in value)


def count_tokens(value: Any) -> int:
    """Estimate the number of tokens in a JSON value."""
    if isinstance(value, str):
        return -(-len(value) // CHARACTERS_PER_TOKEN)
    if isinstance(value, list):
        return sum(map(count_tokens, value))
    if isinstance(value, dict):
        return sum(map(count_tokens, value.values()))
    return 1


def read_rerank(body: dict[str, Any]) -> ApiRequest:
    """Validate a rerank request."""
    query = body.get("query")
    documents = body.get("documents")
    top_n = body.get("top_n")
    if not isinstance(query, str) or not query:
        raise RequestError(400, "query must be a text", param="query")
    if (
        not isinstance(documents, list)
        or not 0 < len(documents) <= MAX_TEXTS
        or not all(is_document(document) for document in documents)
    ):
        raise RequestError(
            400, f"documents must be an array of 1 to {MAX_TEXTS} texts", param="documents"
        )
    if top_n is not None and (type(top_n) is not int or top_n < 1):
        raise RequestError(400, "top_n must be a whole number over 0", param="top_n")
    document_count = len(documents)
    expected_count = min(top_n or document_count, document_count)

    def is_complete(data: bytes) -> bool:
        entry_indices = response_indices(data)
        return (
            len(entry_indices) == len(set(entry_indices)) == expected_count
            and entry_indices[-1] < document_count
        )

    # The model reads the query once with each document.
    tokens = count_tokens(documents) + document_count * count_tokens(query)
    return ApiRequest(tokens, is_complete)


def is_document(value: Any) -> bool:
    """Return whether a value is a document: a text, or an object with a text."""
    text = value.get("text") if isinstance(value, dict) else value
    return isinstance(text, str)


def response_indices(data: bytes) -> list[int]:
    """Return the sorted indices of a response's entries; none if it is not a whole JSON object.

    Parsing a megabyte of JSON would block the event loop, and thus chat, for milliseconds;
    a regular expression does not.
    """
    text = data.strip()
    if not (text.startswith(b"{") and text.endswith(b"}")):
        return []
    return sorted(map(int, INDEX_FIELD.findall(text)))
