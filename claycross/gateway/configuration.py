"""The combined contents of a gateway's configuration files."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..config.settings import AdminConfig, EmbeddingsConfig, EtcdConfig, GatewayConfig

if TYPE_CHECKING:
    # Imports msgspec, which is loaded only if one of these files is given.
    from ..config.operator_files import CooperationConfig, Http2Config


@dataclass(frozen=True, slots=True)
class Configuration:
    """The parsed configuration files; an optional file that is not given is None."""

    gateway: GatewayConfig
    embeddings: EmbeddingsConfig | None = None
    admin: AdminConfig | None = None
    etcd: EtcdConfig | None = None
    http2: Http2Config | None = None
    cooperation: CooperationConfig | None = None
