"""Conversion of the platform's settings and of the configuration files into typed structures.

The simulator's adapter and the gateway both read the platform's settings here. A file that can't be
used, or lacks a required key, raises ConfigurationError with a message of one line.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from .. import interface

Fields = dict[str, Any]
Address = tuple[str, int]

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
KIB = 1024  # bytes
# Defaults for settings that are left out.
DEFAULT_CONNECT_TIMEOUT_NS = 250 * MS
DEFAULT_DRAIN_GRACE_NS = 250 * MS
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 2048
MEGABYTE = 1_000_000  # bytes
DEFAULT_ADMIN_CLIENTS = 8
DEFAULT_STATE_FOLDER = "/tmp"
# Longest Retry-After in rejections of the embeddings service.
EMBEDDINGS_MAX_RETRY_AFTER_NS = 10 * SECOND
EMBEDDINGS_CLASSES = frozenset({"embeddings", "rerank"})
MAX_PORT = 65535
MAX_DESCRIPTOR = 65535
DEPLOYMENT_DIGEST_LENGTH = 16  # hexadecimal digits; enough to distinguish deployments
TOKEN_DIGEST_LENGTH = 64  # hexadecimal digits of a SHA-256
TOKENS_PER_KILOTOKEN = 1000


class ConfigurationError(Exception):
    """The configuration can't be used; the message gives the reason in one line."""


@contextlib.contextmanager
def conversion_errors(source: str) -> Iterator[None]:
    """Turn errors of converting a file's values into a ConfigurationError that names the file."""
    try:
        yield
    except KeyError as err:
        raise ConfigurationError(f"{source}: {err} is missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as err:
        raise ConfigurationError(f"{source}: {err}") from None


# ------------------------------------------------------------ the platform's settings


def read_settings(raw: Fields) -> interface.Settings:
    """Convert the settings that the platform gives.

    Raises:
        KeyError: A required setting is missing.
        TypeError: A setting is of the wrong kind.
        ValueError: A setting has an invalid value.
    """
    family_info = raw["family-info"]
    permissions = raw["permissions"]
    safety = raw["safety"]
    classes = read_classes(raw["categories"], family_info)
    kinds = raw["host-types"]
    tenants = [read_tenant(tenant) for tenant in raw.get("tenants", [])]
    known_roles = list(interface.EngineRole)
    roles = {
        kind: interface.EngineRole(role)
        for kind, role in zip(kinds, family_info["kind-role"], strict=False)
        if role in known_roles  # engines of another role are not used
    }
    memory_sizes = zip(kinds, family_info.get("kv-tokens", []), strict=False)
    return interface.Settings(
        classes=classes,
        roles=roles,
        memory={kind: int(tokens) for kind, tokens in memory_sizes},
        zone=raw.get("zone", ""),
        gateway_count=int(raw["balancers"]),
        gateway_number=int(raw.get("me", 0)),
        tick=int(raw["tick"]),
        tenants={tenant.name: tenant for tenant in tenants},
        over_quota_weight=float(raw.get("over-share-worth", 1)),
        polls_endpoint_list=raw.get("membership-mode") == "ask",
        max_attempts=int(permissions["send-cap"]),
        may_cancel=bool(permissions.get("may-cancel")),
        may_hedge=bool(permissions.get("may-duplicate")),
        may_probe=bool(permissions.get("may-probe")),
        gossip_allowed=bool(permissions.get("peers")),
        sends_retry_after=bool(permissions.get("retry-after")),
        max_retry_after=int(permissions.get("max-retry-after", 0)),
        connection_idle_timeout=int(permissions.get("conn-idle", 0)),
        release_within=int(family_info["release-within"]),
        connect_timeout=int(permissions.get("dial-timeout", DEFAULT_CONNECT_TIMEOUT_NS)),
        writers_can_read=bool(family_info.get("writers-read")),
        clients_resume=bool(family_info.get("resume")),
        slow_start_initial=float(safety["cold-from"]),
        slow_start_duration=int(safety["warm-after"]),
        overload_window=int(safety["fall"]),
        overload_multiple=float(safety["fall-multiple"]),
        drain_grace=int(safety.get("stop-sending-within", DEFAULT_DRAIN_GRACE_NS)),
    )


def read_classes(
    categories: list[Fields], family_info: Fields
) -> dict[str, interface.RequestClass]:
    """Convert the request classes; two lists in `family-info` hold one more value for each."""
    prompt_objectives = family_info.get("aim-us-per-1000-prompt-tokens", [])
    token_objectives = family_info.get("token-aim", [])
    classes: dict[str, interface.RequestClass] = {}
    for position, category in enumerate(categories):
        effect, scope = read_effect(category)
        request_class = interface.RequestClass(
            name=category["name"],
            latency_objective=int(category["slo"]),
            timeout=int(category["give-up"]),
            priority_weight=float(category.get("importance", 1)),
            late_weight=float(category.get("late-worth", 0)),
            effect=effect,
            deduplication_scope=scope,
            idempotency_key_ttl=int(category.get("key-ttl", 0)),
            streaming=bool(category.get("streaming", False)),
            # Microseconds per 1000 tokens are nanoseconds per token.
            objective_per_prompt_token=float(value_at(prompt_objectives, position)),
            token_interval_objective=int(value_at(token_objectives, position)),
        )
        classes[request_class.name] = request_class
    return classes


def read_effect(category: Fields) -> tuple[interface.Effect, interface.DeduplicationScope]:
    """Return whether requests of a class may run twice, and which engines drop duplicates.

    Requests of a class whose effect or scope is unknown to this version must not run twice.
    """
    effect = category.get("effect", interface.Effect.IDEMPOTENT)
    scope = category.get("group", interface.DeduplicationScope.ALL)
    if effect not in list(interface.Effect) or scope not in list(interface.DeduplicationScope):
        return interface.Effect.NOT_IDEMPOTENT, interface.DeduplicationScope.ALL
    return interface.Effect(effect), interface.DeduplicationScope(scope)


def value_at(values: list[Any], position: int) -> Any:
    """Return a value of a list that may be shorter than the classes; 0 beyond its end."""
    return values[position] if position < len(values) else 0


def read_tenant(tenant: Fields) -> interface.TenantQuota:
    """Convert a tenant's quota."""
    quota = float(tenant.get("quota-per-s", 0))
    return interface.TenantQuota(tenant["name"], quota, float(tenant.get("share", 0)))


def read_report(stats: Fields | None) -> interface.LoadReport | None:
    """Convert an engine's load report; None where there is none."""
    if not stats:
        return None
    kilotokens = stats.get("x1")
    return interface.LoadReport(
        stats.get("outstanding"),
        stats.get("backlog"),
        stats.get("x0"),
        None if kilotokens is None else kilotokens * TOKENS_PER_KILOTOKEN,
    )


# ------------------------------------------------------------ the gateway's configuration


@dataclass(slots=True)
class GatewayConfig:
    """The configuration of a gateway."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    memory_limit: int  # bytes; the platform kills a process that has more
    saved_list: Fields  # the endpoint list as an earlier process last had it
    settings: interface.Settings
    peer_listen: Address | None = None  # where messages of the other gateways arrive
    peers: tuple[Address, ...] = ()  # all gateways by number, including this one
    peers_all: Address | None = None  # one address that reaches all gateways
    # Descriptor of the clients' listening socket, where the platform opened it.
    inherited_socket: int | None = None
    admin_listen: Address | None = None  # the operators' admin socket
    state_folder: str = DEFAULT_STATE_FOLDER  # `$TMPDIR`; the state files' folder
    deployment: str = ""  # digest of the settings; persisted state is valid only for these


def read_descriptor(text: str) -> int | None:
    """Read `$PROXY_PASSED_SOCKET`, the number of an inherited descriptor; None where blank."""
    descriptor = text.strip()
    if not descriptor:
        return None
    if not descriptor.isdigit() or int(descriptor) > MAX_DESCRIPTOR:
        raise ConfigurationError(
            f"PROXY_PASSED_SOCKET must name a descriptor by its number, not {text!r}"
        )
    return int(descriptor)


def read_address(text: Any, name: str) -> Address:
    """Read an address of the form HOST:PORT."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigurationError(f"{name} must be an address and a port, not {text!r}")
    return host, int(port)


def read_optional_address(text: Any, name: str) -> Address | None:
    """Read an address that may be left out."""
    return read_address(text, name) if text else None


def read_config(path: str, env: dict[str, str]) -> GatewayConfig:
    """Read the configuration file; variables of the environment take precedence.

    Raises:
        ConfigurationError: The file can't be read or used.
    """
    raw = read_json_object(path)
    with conversion_errors(f"configuration {path}"):
        return convert_config(raw, env)


def read_json_object(path: str) -> Fields:
    """Read a JSON file that holds an object."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except OSError as err:
        raise ConfigurationError(f"configuration {path}: {err.strerror}") from None
    except (ValueError, RecursionError) as err:
        raise ConfigurationError(f"configuration {path} is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ConfigurationError(f"configuration {path} must hold an object")
    return raw


def convert_config(raw: Fields, env: dict[str, str]) -> GatewayConfig:
    """Convert the contents of the configuration file."""
    seed = str(raw.get("seed", "0"))
    limits = raw.get("limits") or {}
    settings = raw["settings"]
    return GatewayConfig(
        name=env.get("PROXY_NAME") or str(raw.get("name", "")),
        listen=read_address(env.get("PROXY_LISTEN") or raw["listen"], "listen"),
        discovery=read_address(env.get("PROXY_DISCOVERY") or raw["discovery"], "discovery"),
        seed=int(seed, 16),
        max_descriptors=int(limits.get("sockets", DEFAULT_MAX_DESCRIPTORS)),
        memory_limit=int(limits.get("memory_mb", DEFAULT_MEMORY_MB) * MEGABYTE),
        saved_list=raw.get("known") or {},
        settings=replace(read_settings(settings), may_check_connections=True),
        peer_listen=read_optional_address(raw.get("peer_listen"), "peer_listen"),
        peers=tuple(read_address(peer, "peers") for peer in raw.get("peers") or ()),
        peers_all=read_optional_address(raw.get("peers_all"), "peers_all"),
        inherited_socket=read_descriptor(env.get("PROXY_PASSED_SOCKET", "")),
        admin_listen=read_optional_address(env.get("PROXY_ADMIN") or raw.get("admin"), "admin"),
        state_folder=env.get("TMPDIR") or DEFAULT_STATE_FOLDER,
        deployment=deployment_digest(settings),
    )


def deployment_digest(settings: Fields) -> str:
    """Return a digest of the settings, which differs between deployments."""
    text = json.dumps(settings, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:DEPLOYMENT_DIGEST_LENGTH]


# ------------------------------------------------------------ optional files


@dataclass(slots=True)
class EmbeddingsConfig:
    """The configuration of the embeddings and rerank service."""

    listen: Address
    settings: interface.Settings
    max_requests: int
    max_clients: int
    max_response_bytes: int
    seed: int


@dataclass(slots=True)
class EtcdConfig:
    """The address of etcd, and the key prefix of the endpoint list there."""

    address: Address
    prefix: str


@dataclass(slots=True)
class AdminConfig:
    """The configuration of the administration API."""

    listen: Address
    token_digest: str  # SHA-256 of the bearer token, in hexadecimal
    tenants: str  # path of the tenants' file
    max_clients: int


def read_toml(path: str) -> Fields:
    """Read a TOML file."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as err:
        raise ConfigurationError(f"{path}: {err.strerror}") from None
    except ValueError as err:
        raise ConfigurationError(f"{path} is not TOML: {err}") from None


def read_etcd(path: str) -> EtcdConfig:
    """Read the file that names etcd as the source of the endpoint list."""
    raw = read_toml(path)
    with conversion_errors(path):
        return EtcdConfig(read_address(raw["endpoint"], "endpoint"), str(raw["prefix"]))


def read_admin(path: str) -> AdminConfig:
    """Read the configuration file of the administration API."""
    raw = read_toml(path)
    with conversion_errors(path):
        token_digest = str(raw["token_sha256"])
        if len(token_digest) != TOKEN_DIGEST_LENGTH or set(token_digest) - set("0123456789abcdef"):
            raise ConfigurationError(
                f"{path}: token_sha256 must be {TOKEN_DIGEST_LENGTH} hexadecimal digits; "
                "without it the API stays off"
            )
        return AdminConfig(
            listen=read_address(raw["listen"], "listen"),
            token_digest=token_digest,
            tenants=str(raw["tenants"]),
            max_clients=max(1, int(raw.get("most_clients", DEFAULT_ADMIN_CLIENTS))),
        )


def read_embeddings(path: str, config: GatewayConfig) -> EmbeddingsConfig:
    """Read the configuration file of the embeddings service.

    Settings that the file does not contain (drain, slow start, state release) are those of chat.
    """
    raw = read_toml(path)
    with conversion_errors(path):
        settings = embeddings_settings(path, raw, config.settings)
        limits = embeddings_limits(path, raw)
        return EmbeddingsConfig(
            listen=read_address(raw["listen"], "listen"),
            settings=settings,
            max_requests=limits["most_open"],
            max_clients=limits["most_clients"],
            max_response_bytes=limits["largest_answer_kib"] * KIB,
            seed=config.seed,
        )


def embeddings_settings(
    path: str, raw: Fields, chat_settings: interface.Settings
) -> interface.Settings:
    """Return the settings of the embeddings service, based on those of chat."""
    classes = {name: read_embeddings_class(name, fields) for name, fields in raw["classes"].items()}
    missing = EMBEDDINGS_CLASSES - classes.keys()
    if missing:
        raise ConfigurationError(f"{path}: class {min(missing)} is missing")
    kinds = [str(kind) for kind in raw["kinds"]]
    shared = set(kinds) & chat_settings.roles.keys()
    if shared:
        raise ConfigurationError(f"{path}: kind {min(shared)} serves chat")
    return replace(
        chat_settings,
        classes=classes,
        roles=dict.fromkeys(kinds, interface.EngineRole.MIXED),
        tenants={},
        memory=dict.fromkeys(kinds, int(raw["memory_tokens"])),
        max_attempts=int(raw["attempts"]),
        may_cancel=True,
        may_hedge=False,
        gossip_allowed=False,
        polls_endpoint_list=False,
        sends_retry_after=True,
        max_retry_after=EMBEDDINGS_MAX_RETRY_AFTER_NS,
    )


def read_embeddings_class(name: str, fields: Fields) -> interface.RequestClass:
    """Convert one request class of the embeddings service."""
    return interface.RequestClass(
        name,
        int(fields["aim_ms"]) * MS,
        int(fields["deadline_ms"]) * MS,
        priority_weight=float(fields.get("worth", 1)),
        effect=interface.Effect.IDEMPOTENT,
        streaming=False,
    )


def embeddings_limits(path: str, raw: Fields) -> dict[str, int]:
    """Return the limits in the embeddings file, all of which must be positive."""
    names = ("most_open", "most_clients", "largest_answer_kib", "attempts", "memory_tokens")
    limits = {name: int(raw[name]) for name in names}
    for name, value in limits.items():
        if value < 1:
            raise ConfigurationError(f"{path}: {name} must be over 0")
    return limits
