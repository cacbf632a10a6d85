"""Settings with values unknown to this version: the gateway starts, and nothing runs twice."""

import json

import pytest

from claycross.config.settings import read_settings
from claycross.interface import DeduplicationScope, Effect, EngineRole
from standins.servers import SETTINGS


def settings_with(category=None, roles=None):
    raw = json.loads(json.dumps(SETTINGS))
    raw["categories"][0] |= category or {}
    raw["family-info"]["kind-role"] = roles or raw["family-info"]["kind-role"]
    return read_settings(raw)


@pytest.mark.parametrize(
    ("category", "effect", "scope"),
    [
        ({"effect": "safe"}, Effect.IDEMPOTENT, DeduplicationScope.ALL),
        (
            {"effect": "keyed", "group": "cell"},
            Effect.WITH_IDEMPOTENCY_KEY,
            DeduplicationScope.CELL,
        ),
        ({"effect": "unsafe"}, Effect.NOT_IDEMPOTENT, DeduplicationScope.ALL),
        ({"effect": "mostly"}, Effect.NOT_IDEMPOTENT, DeduplicationScope.ALL),
        ({"effect": "keyed", "group": "rack"}, Effect.NOT_IDEMPOTENT, DeduplicationScope.ALL),
    ],
)
def test_an_unknown_effect_or_scope_means_that_nothing_may_run_twice(category, effect, scope):
    request_class = settings_with(category).classes["ask"]
    assert (request_class.effect, request_class.deduplication_scope) == (effect, scope)


def test_engines_of_an_unknown_role_are_not_used():
    assert settings_with(roles=["read", "rank"]).roles == {"p": EngineRole.READER}
