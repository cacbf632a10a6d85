"""The components of a gateway process, shared by its commands, lifecycle and statistics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..config.settings import GatewayConfig
from ..discovery.engine_incarnations import EngineIncarnations
from ..discovery.list_freshness import ListFreshness
from ..frontends.admin_socket import AdminSocket
from ..frontends.base import Frontend
from ..interface import EndpointListUpdate
from ..invariant import log_line
from ..net.address import Endpoint
from ..net.datagrams import DatagramSocket
from ..net.loop import SECOND, EventLoop
from ..recovery.administrative_ejection import AdministrativeEjections
from ..recovery.state_store import StateStore
from ..requests.manager import RequestManager
from ..requests.memory_account import MemoryAccount
from ..upstream.engine_calls import EngineConnections

if TYPE_CHECKING:
    from ..discovery.membership_driver import MembershipDriver


@dataclass(frozen=True, slots=True)
class GatewayLog:
    """Log writer that prefixes each line with the time and the gateway's name."""

    loop: EventLoop
    name: str

    def write(self, text: str) -> None:
        """Write one log line."""
        log_line(f"{self.loop.unix_time() / SECOND:.3f} {self.name} {text}")


@dataclass(slots=True)
class GatewayParts:
    """The components of one gateway, which share one event loop."""

    config: GatewayConfig
    loop: EventLoop
    log: Callable[[str], None]
    incarnations: EngineIncarnations
    list_freshness: ListFreshness
    ejections: AdministrativeEjections
    state_store: StateStore
    memory: MemoryAccount
    # The chat manager first, then the embeddings manager if configured.
    managers: list[RequestManager]
    engine_connections: list[EngineConnections] = field(
        default_factory=list
    )  # in order of `managers`
    # The chat frontend first, then those of embeddings and the administration API if configured.
    frontends: list[Frontend] = field(default_factory=list)
    peers: DatagramSocket | None = None
    membership: MembershipDriver | None = None
    admin_socket: AdminSocket | None = None
    stopping: bool = False

    @property
    def chat(self) -> RequestManager:
        """The request manager of the chat service."""
        return self.managers[0]

    @property
    def chat_frontend(self) -> Frontend:
        """The frontend of the chat service."""
        return self.frontends[0]

    @property
    def supports_handover(self) -> bool:
        """Whether another process can take over the inherited listening socket from this one."""
        return self.config.inherited_socket is not None

    def update_endpoints(self, update: EndpointListUpdate, endpoints: dict[str, Endpoint]) -> None:
        """Pass an endpoint list update to all request managers and engine connections."""
        for manager, connections in zip(self.managers, self.engine_connections, strict=True):
            connections.update_endpoints(update, endpoints)
            entries = [entry.copy() for entry in update.entries]
            manager.update_endpoints(EndpointListUpdate(update.kind, entries))

    def list_is_fresh(self) -> bool:
        """Return whether requests may be sent based on the current endpoint list."""
        return self.list_freshness.may_send(self.loop.now())


def last_response(managers: list[RequestManager], engine: str) -> int:
    """Return when the engine last responded, in ns of this gateway's clock; 0 for never."""
    return max((manager.last_response.get(engine, 0) for manager in managers), default=0)
