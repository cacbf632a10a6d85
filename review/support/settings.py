"""Settings of two deployments in the platform's form, as a gateway of a small fleet gets them."""

from __future__ import annotations

from typing import Any

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns


def streaming_class(name: str, objective: int, timeout: int, effect: str) -> dict[str, Any]:
    """Return a request class; times in ns."""
    return {
        "name": name,
        "slo": objective,
        "give-up": timeout,
        "effect": effect,
        "group": "all",
        "key-ttl": 5 * SECOND,
        "importance": 1.0,
        "late-worth": 0.2,
        "streaming": True,
    }


def inanga_chat() -> dict[str, Any]:
    """Return the settings of inanga-chat: the example of the page WIRE."""
    return {
        "balancers": 3,
        "categories": [
            streaming_class("browse", 1500 * MS, 6 * SECOND, "safe"),
            streaming_class("licence", 3 * SECOND, 15 * SECOND, "unsafe"),
        ],
        "clients": {"marks-retry": True},
        "family": "twostage",
        "family-info": {
            "aim-us-per-1000-prompt-tokens": [40000.0, 40000.0],
            "kind-role": ["read", "write"],
            "kv-tokens": [193925, 205691],
            "may-reserve": True,
            "release-within": 300 * MS,
            "resume": True,
            "token-aim": [60 * MS, 80 * MS],
            "writers-read": False,
        },
        "host-types": ["prefill", "decode"],
        "layers": ["chat-fleet"],
        "me": 0,
        "membership-mode": "push",
        "over-share-worth": 0.1,
        "permissions": {
            "conn-idle": 15 * SECOND,
            "dial-timeout": 250 * MS,
            "max-open": 26666,
            "max-retry-after": SECOND,
            "may-cancel": True,
            "may-duplicate": False,
            "may-probe": True,
            "peers": False,
            "retry-after": True,
            "send-cap": 5,
            "streams-per-conn": 32,
        },
        "report": {"columns": ["recent_ms", "x0", "x1"], "how": "on_probe"},
        "safety": {
            "answer-slack": 16 * MS,
            "ask-within": 10 * SECOND,
            "cold-from": 0.26,
            "fall": 3 * SECOND,
            "fall-multiple": 4.0,
            "stop-sending-within": 250 * MS,
            "warm-after": 12 * SECOND,
        },
        "stage": 0,
        "tenants": [],
        "tick": 4 * MS,
        "weights": "rough",
        "worth-by": "work",
        "zone": "musanze",
        "zones": ["kigali", "huye", "musanze"],
    }


def fukuoka_points() -> dict[str, Any]:
    """Return the settings of fukuoka-points, by its site file; clients don't resume streams."""
    settings = inanga_chat()
    settings["balancers"] = 2
    settings["categories"] = [
        streaming_class("offer-text", 2 * SECOND, 10 * SECOND, "safe"),
        streaming_class("member-chat", 3 * SECOND, 12 * SECOND, "safe"),
    ]
    settings["family-info"] |= {
        "release-within": 500 * MS,
        "resume": False,
        "token-aim": [70 * MS, 80 * MS],
    }
    settings["permissions"] |= {"may-duplicate": True, "send-cap": 6}
    settings["safety"] |= {
        "cold-from": 0.25,
        "fall": 1500 * MS,
        "fall-multiple": 2.5,
        "stop-sending-within": 500 * MS,
    }
    settings |= {"tick": 2 * MS, "weights": "off", "zone": "hakata-1"}
    settings["zones"] = ["hakata-1", "hakata-2"]
    settings["report"] = {"columns": [], "how": "off"}
    return settings
