"""The UDP socket through which gateways exchange datagrams; their content is opaque here."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable

from ..interface import ALL_GATEWAYS
from .address import Address
from .clock import MS
from .event_loop import EventLoop

MAX_DATAGRAM_BYTES = 256  # the platform bans a service that sends a longer one
REBIND_INTERVAL_NS = 250 * MS  # between attempts to bind an address that another process holds
# Datagrams received in one iteration of the loop. Others wait in the kernel's buffer, which drops
# them when it is full.
MAX_RECEIVES_PER_ITERATION = 64


class DatagramSocket:
    """Sends and receives datagrams of this service's gateways; drops those of other senders."""

    def __init__(
        self,
        loop: EventLoop,
        listen: Address,
        peers: tuple[Address, ...],
        broadcast_address: Address,
        own_number: int,
        on_datagram: Callable[[int, bytes], None],
    ):
        """Bind the socket, now or as soon as the address is free.

        Args:
            loop: The event loop.
            listen: The address to bind.
            peers: The addresses of all gateways, by gateway number.
            broadcast_address: The address that reaches all other gateways.
            own_number: The number of this gateway.
            on_datagram: Called with the sender's number and the payload of each datagram that
                another gateway sent.
        """
        self.loop = loop
        self.listen = listen
        self.addresses = peers
        self.broadcast_address = broadcast_address
        self.own_number = own_number
        self.on_datagram = on_datagram
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.sent = 0
        self.received = 0
        self.rejected = 0  # datagrams that were too long, or of an unknown sender
        self.unsent = 0  # datagrams that were too long, or that the socket could not send
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        # A new process binds the same address while the one that it replaces still runs.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if hasattr(socket, "SO_REUSEPORT"):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.bound = False
        self.bind()

    def bind(self) -> None:
        """Bind the socket, or retry later if another process holds the address.

        Nothing is sent until it is bound.
        """
        try:
            self.sock.bind(self.listen)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            self.loop.call_later(REBIND_INTERVAL_NS, self.bind)
            return
        self.bound = True
        self.loop.watch(self.sock.fileno(), select.POLLIN, self.ready)

    def send_to_gateway(self, payload: bytes, number: int) -> None:
        """Send to one gateway, or to all others (ALL_GATEWAYS), without a guarantee of delivery."""
        if number == ALL_GATEWAYS:
            address = self.broadcast_address
        else:
            address = self.addresses[number]
        self.send(payload, address)

    def send(self, payload: bytes, address: Address) -> None:
        """Send a datagram, unless it is too long or the socket does not take it."""
        if len(payload) > MAX_DATAGRAM_BYTES or not self.bound:
            self.unsent += 1
            return
        try:
            self.sock.sendto(payload, address)
        except OSError:
            self.unsent += 1
        else:
            self.sent += 1

    def ready(self, _: int) -> None:
        """Receive the datagrams that have arrived, up to MAX_RECEIVES_PER_ITERATION."""
        for _ in range(MAX_RECEIVES_PER_ITERATION):
            try:
                payload, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # nothing left, or an ICMP error for a datagram that was sent before
                return
            self.receive(payload, sender)

    def receive(self, payload: bytes, sender: Address) -> None:
        """Pass on a datagram if another gateway sent it."""
        number = self.numbers.get(sender)
        if number is None or len(payload) > MAX_DATAGRAM_BYTES:
            self.rejected += 1
        elif number != self.own_number:
            self.received += 1
            self.on_datagram(number, payload)

    def metrics(self) -> dict[str, int]:
        """Return the counters by the names that the log uses."""
        return {
            "told": self.sent,
            "heard": self.received,
            "strange": self.rejected,
            "untold": self.unsent,
        }
