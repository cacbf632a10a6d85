"""Creates and connects the components of one gateway."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from ..config.settings import AdminConfig, EmbeddingsConfig, GatewayConfig
from ..discovery.engine_incarnations import EngineIncarnations
from ..discovery.list_freshness import ListFreshness, freshness_timing
from ..frontends.admin_api import AdminFrontend, AdminService, Tenants
from ..frontends.admin_socket import MAX_ADMIN_CONNECTIONS, AdminSocket
from ..frontends.base import ClientLimits
from ..frontends.chat import ChatFrontend
from ..frontends.embeddings import EmbeddingsFrontend
from ..interface import GossipReceived, Settings
from ..net.datagrams import DatagramSocket
from ..net.loop import MS, EventLoop
from ..recovery.administrative_ejection import AdministrativeEjections
from ..recovery.state_files import StateFiles
from ..recovery.state_store import StateStore
from ..requests.manager import RequestManager
from ..requests.memory_account import MemoryAccount
from ..upstream.engine_calls import EngineConnections
from ..upstream.http1 import ConnectionPool
from .configuration import Configuration
from .endpoint_updates import EndpointUpdates
from .lifecycle import Lifecycle, ReadConfiguration
from .operator_commands import OperatorCommands
from .parts import GatewayLog, GatewayParts, last_response
from .statistics import Statistics

if TYPE_CHECKING:
    from ..config.operator_files import CooperationConfig, Http2Config

CHAT = "chat"
EMBEDDINGS = "embeddings"
# File descriptors kept for the process itself, discovery and connections being accepted.
RESERVED_DESCRIPTORS = 48
MIN_CONNECTIONS = 16  # to clients and to engines each, whatever the descriptor limit
MIN_COOPERATING_GATEWAYS = 2


class Gateway:
    """One gateway: its components on one event loop."""

    def __init__(self, configuration: Configuration):
        config = configuration.gateway
        embeddings = configuration.embeddings
        cooperation = configuration.cooperation
        if cooperation:
            settings = replace(config.settings, aggregate_above=cooperation.sums.above)
            config = replace(config, settings=settings)
        self.config = config
        self.http2 = configuration.http2
        self.loop = EventLoop()
        self.log = GatewayLog(self.loop, config.name).write
        self.loop.log = self.log
        self.parts = self.create_parts()
        self.parts.state_store.load()
        connections = max_connections(config, embeddings, configuration.admin)
        self.add_service(CHAT, config.settings, connections)
        if embeddings:
            self.add_service(EMBEDDINGS, embeddings.settings, embeddings.max_requests)
        self.endpoint_updates = EndpointUpdates(self.parts, configuration.etcd)
        self.endpoint_updates.discovery.start_from(config.saved_list)
        self.open_peer_socket()
        if cooperation:
            self.start_cooperation(cooperation)
        self.endpoint_updates.start()
        self.start_managers()
        self.statistics = Statistics(self.parts)
        self.commands = OperatorCommands(self.parts, self.endpoint_updates, self.statistics)
        self.add_chat_frontend(connections)
        if embeddings:
            self.add_embeddings_frontends(embeddings, configuration.admin)
        self.open_admin_socket()
        self.start_state_store()
        self.statistics.start()

    def trace(self) -> None:
        """Log the end of each attempt and request, and late iterations of the event loop."""
        self.statistics.trace()

    def run(self, read_configuration: ReadConfiguration) -> None:
        """Serve until the process is stopped.

        Args:
            read_configuration: Reads the configuration files again on SIGHUP.
        """
        Lifecycle(self.parts, self.endpoint_updates, read_configuration).run()

    # ------------------------------------------------------------ state and services

    def create_parts(self) -> GatewayParts:
        """Create the components that are independent of services."""
        config = self.config
        managers: list[RequestManager] = []
        ejections = AdministrativeEjections()
        files = StateFiles(config.state_folder, config.name, self.log, config.deployment)
        return GatewayParts(
            config=config,
            loop=self.loop,
            log=self.log,
            incarnations=EngineIncarnations(partial(last_response, managers)),
            list_freshness=ListFreshness(self.loop.now(), freshness_timing(config.settings)),
            ejections=ejections,
            state_store=StateStore(self.loop, files, ejections, self.log),
            memory=MemoryAccount(config.memory_limit),
            managers=managers,
        )

    def add_service(self, name: str, settings: Settings, connections: int) -> None:
        """Add the request manager and engine connections of a service."""
        manager = RequestManager(settings, self.config.seed, self.loop, self.log, name)
        manager.arrivals.list_freshness = self.parts.list_freshness
        manager.memory = self.parts.memory
        pool = ConnectionPool(
            self.loop, connections, settings.connection_idle_timeout // 2, settings.connect_timeout
        )
        engine_connections = EngineConnections(self.loop, pool, manager)
        manager.engine_calls = engine_connections
        if self.http2:
            self.enable_http2(self.http2, engine_connections, manager, pool)
        self.parts.managers.append(manager)
        self.parts.engine_connections.append(engine_connections)

    def enable_http2(
        self,
        http2: Http2Config,
        engine_connections: EngineConnections,
        manager: RequestManager,
        pool: ConnectionPool,
    ) -> None:
        """Enable HTTP/2 from a service to its engines."""
        # Imported on use: gateways without HTTP/2 save its start-up time and memory.
        from ..upstream.http2 import Http2Client

        client = Http2Client(
            self.loop,
            pool,
            manager.may_send,
            self.log,
            http2.connection_limits(manager.settings.connection_idle_timeout),
            http2.window_kib * 1024,
            http2.body_wait_ms * MS,
            background=manager.name != CHAT,
        )
        engine_connections.enable_http2(client, http2.everywhere)

    def start_managers(self) -> None:
        """Process the request managers' events now and after each loop iteration."""
        for manager in self.parts.managers:
            self.loop.after_iteration.append(manager.process_events)
            manager.process_events()

    def start_state_store(self) -> None:
        """Apply a persisted drain and start persisting state changes."""
        state_store = self.parts.state_store
        state_store.on_ejections_changed = self.endpoint_updates.apply_ejections
        state_store.on_drain_changed = self.commands.apply_drain
        if self.parts.supports_handover:
            state_store.capture_snapshot = self.endpoint_updates.capture_snapshot
        if state_store.draining:
            self.commands.apply_drain(True)
        confirmation_timeout = self.parts.list_freshness.timing.unheard_after
        self.loop.call_later(confirmation_timeout, self.endpoint_updates.admit_waiting)
        state_store.start(saves_snapshots=self.parts.supports_handover)

    # ------------------------------------------------------------ other gateways

    def open_peer_socket(self) -> None:
        """Open the socket for messages between gateways, if the settings permit them."""
        config = self.config
        if not (config.settings.gossip_allowed and config.peer_listen and config.peers_all):
            return
        peers = DatagramSocket(
            self.loop,
            config.peer_listen,
            config.peers,
            config.peers_all,
            config.settings.gateway_number,
            self.receive_datagram,
        )
        self.parts.peers = peers
        self.parts.chat.send_gossip = peers.send_to_gateway

    def receive_datagram(self, peer: int, payload: bytes) -> None:
        """Pass a datagram of another gateway to membership, or to the chat router as gossip."""
        membership = self.parts.membership
        if membership and membership.receive(peer, payload):
            return
        self.parts.chat.enqueue(GossipReceived(peer, payload))

    def start_cooperation(self, cooperation: CooperationConfig) -> None:
        """Start the membership protocol, if the settings permit messages between gateways."""
        from ..discovery.membership_driver import MembershipDriver

        settings = self.config.settings
        peers = self.parts.peers
        gateway_count = settings.gateway_count
        if (
            not peers
            or gateway_count < MIN_COOPERATING_GATEWAYS
            or len(self.config.peers) != gateway_count
        ):
            self.log(
                "cooperation-off the settings permit no messages between gateways, or there is "
                "only one gateway"
            )
            return
        self.parts.membership = MembershipDriver(
            self.loop,
            peers,
            settings.gateway_number,
            gateway_count,
            settings.zone,
            self.config.seed,
            cooperation.members.membership_config(),
            self.log,
        )

    # ------------------------------------------------------------ frontends

    def add_chat_frontend(self, connections: int) -> None:
        """Listen for clients of the chat service."""
        frontend = ChatFrontend(
            self.loop,
            self.parts.chat,
            self.config.listen,
            ClientLimits(connections, self.parts.memory),
            inherited_descriptor=self.config.inherited_socket,
            ready=self.commands.is_ready,
        )
        self.parts.frontends.append(frontend)

    def add_embeddings_frontends(
        self, embeddings: EmbeddingsConfig, admin: AdminConfig | None
    ) -> None:
        """Listen for clients of embeddings and, if configured, of the administration API."""
        manager = self.parts.managers[1]
        frontends = self.parts.frontends
        memory = self.parts.memory
        if not admin:
            frontends.append(EmbeddingsFrontend(self.loop, manager, embeddings, memory))
            return
        tenants = Tenants(admin.tenants, embeddings.settings.tenants)
        authenticate = tenants.authenticate
        frontends.append(EmbeddingsFrontend(self.loop, manager, embeddings, memory, authenticate))
        service = AdminService(admin, tenants, self.statistics.status)
        frontends.append(AdminFrontend(self.loop, manager, service, memory))

    def open_admin_socket(self) -> None:
        """Listen for operator commands, if an address is configured."""
        if not self.config.admin_listen:
            return
        self.statistics.enable_metrics()
        self.parts.admin_socket = AdminSocket(
            self.loop, self.config.admin_listen, self.commands.handlers(), self.log
        )


def max_connections(
    config: GatewayConfig, embeddings: EmbeddingsConfig | None, admin: AdminConfig | None
) -> int:
    """Return the chat service's limit on connections to clients, and likewise to engines."""
    descriptors = config.max_descriptors - RESERVED_DESCRIPTORS
    if config.admin_listen:
        descriptors -= MAX_ADMIN_CONNECTIONS
    if embeddings:
        descriptors -= embeddings.max_clients + embeddings.max_requests
    if embeddings and admin:
        descriptors -= admin.max_clients
    return max(MIN_CONNECTIONS, descriptors // 2)
