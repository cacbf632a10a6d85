"""What the emulated engines answer: the jobs that requests ask for, and the bodies of answers.

Answers depend only on the request and the fleet's seed, so that each engine gives the same one.
"""

from __future__ import annotations

import hashlib
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from ..net.http1 import Head
from .fleet_file import FleetFile
from .model import Job

CHARACTERS_PER_TOKEN = 4
TOKENS_PER_EVENT = 4  # of a streamed answer
OUTPUT_LENGTH_SIGMA = 0.6  # of the log-normal distribution of answers' lengths
CHARACTERS = "abcdefghijklmnopqrstuvwxyz"
LAST_EVENT = b"data: [DONE]\n\n"


@dataclass(slots=True, eq=False)
class EmulatedJob(Job):
    """A job of the model, and what its answer needs of the request."""

    is_embedding: bool = False  # embeddings or rerank
    request: dict[str, Any] = field(default_factory=dict)  # of an embedding job
    texts: list[Any] = field(default_factory=list)  # of an embedding job


def read_chat_request(file: FleetFile, key: str, head: Head) -> EmulatedJob:
    """Return the job of a chat request, whose sizes are in the X-Attrs header.

    Raises:
        ValueError: If a size is not a number.
    """
    pairs = [pair.strip().partition("=") for pair in head.get("x-attrs").split(",") if pair]
    attrs = {name: value for name, _, value in pairs}
    prompt_tokens = max(1, int(attrs.get("prompt_len") or 1))
    max_output_tokens = max(1, int(attrs.get("max_out") or 1))
    rng = random.Random(f"{file.seed} {key}")
    typical = min(file.output_tokens, max_output_tokens)
    drawn = int(rng.lognormvariate(0, OUTPUT_LENGTH_SIGMA) * typical)
    output_tokens = max(1, min(max_output_tokens, drawn))
    return EmulatedJob(
        key,
        prompt_tokens,
        output_tokens,
        head.get("x-route-key"),
        attrs.get("prefix", ""),
        min(prompt_tokens, int(attrs.get("prefix_len") or 0)),
    )


def read_embedding_request(key: str, body: bytes) -> EmulatedJob:
    """Return the job of an embeddings or rerank request.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: If the body is malformed.
    """
    request = json.loads(body)
    texts = request.get("documents") or request["input"]
    # A list of numbers is one text, as tokens.
    if not isinstance(texts, list) or isinstance(texts[0], int):
        texts = [texts]
    characters = sum(len(json.dumps(text)) for text in texts)
    characters += len(texts) * len(request.get("query") or "")
    prompt_tokens = max(1, characters // CHARACTERS_PER_TOKEN)
    return EmulatedJob(key, prompt_tokens, is_embedding=True, request=request, texts=texts)


def answer_text(key: str) -> str:
    """Return the text that each event of the request's answer holds."""
    length = CHARACTERS_PER_TOKEN * TOKENS_PER_EVENT
    return "".join(random.Random(key).choices(CHARACTERS, k=length))


def encode_event(delta: dict[str, str], finish_reason: str | None = None) -> bytes:
    """Return one event of a streamed answer.

    Its field `at` is the monotonic time of sending, from which a client on the same machine can
    tell the event's delay; other clients ignore it.
    """
    body = {
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
        "at": time.monotonic(),
    }
    return b"data: %b\n\n" % json.dumps(body, separators=(",", ":")).encode()


def encode_usage(job: EmulatedJob, cached_tokens: int) -> bytes:
    """Return the event that reports the tokens of a streamed answer."""
    usage = {
        "prompt_tokens": job.prompt,
        "completion_tokens": job.output,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }
    return b'data: {"choices":[],"usage":%b}\n\n' % json.dumps(usage).encode()


def encode_embedding_answer(job: EmulatedJob, dimensions: int) -> bytes:
    """Return the body of an embeddings or rerank answer, which depends on the texts alone."""
    answer = rerank(job) if "documents" in job.request else embeddings(job, dimensions)
    return json.dumps(answer).encode()


def rerank(job: EmulatedJob) -> dict[str, object]:
    """Return the documents' relevance scores, highest first."""
    query = job.request["query"]
    scored = [
        (pseudo_random_values([query, text], 1)[0], index) for index, text in enumerate(job.texts)
    ]
    best = sorted(scored, reverse=True)[: job.request.get("top_n")]
    return {
        "model": job.request["model"],
        "results": [
            {"index": index, "relevance_score": round((score + 1) / 2, 6)} for score, index in best
        ],
    }


def embeddings(job: EmulatedJob, dimensions: int) -> dict[str, object]:
    """Return the embeddings of the texts."""
    return {
        "object": "list",
        "model": job.request["model"],
        "data": [
            {
                "object": "embedding",
                "index": index,
                "embedding": pseudo_random_values(text, dimensions),
            }
            for index, text in enumerate(job.texts)
        ],
        "usage": {"prompt_tokens": job.prompt, "total_tokens": job.prompt},
    }


def pseudo_random_values(text: object, count: int) -> list[float]:
    """Return numbers between -1 and 1 that depend on the text alone."""
    rng = random.Random(hashlib.sha256(json.dumps(text).encode()).digest())
    return [round(rng.uniform(-1, 1), 6) for _ in range(count)]
