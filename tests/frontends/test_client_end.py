"""A client's FIN is noticed although bytes that it sent before have not been read."""

import signal
import threading

import pytest

from standins.servers import Engine, eventually, passes
from tests.frontends.test_pipelining import request

MIB_BYTES = 1 << 20


class DelayedReader(Engine):
    """Answers each request once `go_on` is set."""

    def __init__(self):
        super().__init__("p", plan=DelayedReader.read)
        self.go_on = threading.Event()

    def read(self, message, wire):
        self.go_on.wait(8)
        wire.reply(202, body=b'{"cached_tokens":5}')


def body_too_long(size):
    """The start of a request whose body exceeds the size limit."""
    return (
        request("second", body=b"").replace(b"Content-Length: 0", b"Content-Length: 9000000")
        + b"x" * size
    )


def chunk_too_long(size):
    """The start of a request with a chunk that exceeds the size limit."""
    head = request("second", body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"%x\r\n" % (9 * MIB_BYTES) + b"x" * size


BYTES_BEHIND_REQUEST = {
    "nothing": b"",
    "a body too long": body_too_long(2 * MIB_BYTES),
    "a chunk too long": chunk_too_long(2 * MIB_BYTES),
    "no request": b"\r\n\r\nno request at all\r\n" + b"x" * 2 * MIB_BYTES,
    "a large request": request("second", body=b"x" * 250_000),
    "half a large request": request("second", body=b"x" * 250_000)[:-1],
}


def send_and_close(client, data):
    """Sends as much as the socket buffer takes, without waiting, and closes the connection."""
    client.sock.setblocking(False)
    while data:
        try:
            data = data[client.sock.send(data) :]
        except OSError:  # among them BlockingIOError: the buffer is full
            break
    client.__exit__()


@pytest.mark.parametrize("stopping", [False, True], ids=["serving", "stopping"])
@pytest.mark.parametrize("behind", BYTES_BEHIND_REQUEST.values(), ids=BYTES_BEHIND_REQUEST)
@pytest.mark.parametrize("cls", ["licence", "browse"])
def test_the_disconnect_of_a_client_behind_unread_bytes_is_noticed(site, behind, cls, stopping):
    reader, writer = DelayedReader(), Engine("d")
    gateway = site(reader, writer, release=True)
    client = gateway.client()
    client.sock.sendall(request("first", cls=cls))
    eventually(lambda: reader.asked)
    if stopping:
        gateway.process.send_signal(signal.SIGTERM)
        eventually(lambda: " stopping " in gateway.log())
    threading.Thread(target=send_and_close, args=(client, behind), daemon=True).start()
    passes(0.5)
    reader.go_on.set()
    passes(0.3)
    assert not [message for message in writer.asked if message["X-Request-ID"] == "first"]
