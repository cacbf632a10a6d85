"""A client's FIN is noticed although bytes that it sent before have not been read."""

import json
import signal
import threading

import pytest

from standins.servers import Client, Engine, eventually, passes
from tests.frontends.test_pipelining import request

MIB_BYTES = 1 << 20
NOTICED_WITHIN_S = 0.1 + 0.1  # the pages' limit, and slack for the machine


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


def chunked_in_twos(count):
    """A request whose body comes in chunks of two bytes and does not end."""
    head = request("second", body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"2\r\nab\r\n" * count


def requests_of(count, size):
    return b"".join(request(f"later-{n}", body=b"x" * size, cls="browse") for n in range(count))


WHOLE_BACKLOGS = {
    "400 requests of 2 KB": requests_of(400, 2_000),
    "4,000 small requests": requests_of(4000, 20),
    "12 large requests": requests_of(12, 200_000),
    "30,000 readiness checks": b"GET /-/ready HTTP/1.1\r\nHost: o\r\n\r\n" * 30_000,
    "a body in small chunks without an end": chunked_in_twos(125_000),
    "bodies in small chunks": (chunked_in_twos(125_000) + b"0\r\n\r\n") * 4,
}


@pytest.mark.parametrize("stopping", [False, True], ids=["serving", "stopping"])
@pytest.mark.parametrize("behind", WHOLE_BACKLOGS.values(), ids=WHOLE_BACKLOGS)
def test_nothing_is_begun_for_a_client_that_left_behind_a_backlog_of_requests(
    site, behind, stopping
):
    """Guards against review case 10: the FIN stood behind requests that nobody read, or that were
    parsed first, so that a licence was written up to seconds after its client had closed."""
    reader, writer = DelayedReader(), Engine("d")
    gateway = site(reader, writer, release=True)
    client = gateway.client()
    client.sock.sendall(request("first"))
    eventually(lambda: reader.asked)
    if stopping:
        gateway.process.send_signal(signal.SIGTERM)
        eventually(lambda: " stopping " in gateway.log())
    client.sock.settimeout(8)
    client.sock.sendall(behind)
    client.__exit__()
    passes(NOTICED_WITHIN_S)
    reader.go_on.set()
    passes(0.5)
    assert not writer.asked
    assert [message["X-Request-ID"] for message in reader.asked] == ["first"]


@pytest.mark.parametrize("name", ["400 requests of 2 KB", "12 large requests"])
def test_nothing_is_begun_for_many_clients_that_left_behind_a_backlog_each(site, name):
    reader, writer = DelayedReader(), Engine("d")
    gateway = site(reader, writer, release=True)
    clients = [gateway.client() for _ in range(30)]
    for number, client in enumerate(clients):
        client.sock.sendall(request(f"first-{number}", cls="browse"))
    eventually(lambda: reader.asked)

    def leave(client):
        client.sock.sendall(WHOLE_BACKLOGS[name])
        client.__exit__()

    leaving = [threading.Thread(target=leave, args=(client,), daemon=True) for client in clients]
    for thread in leaving:
        thread.start()
    for thread in leaving:
        thread.join(8)
    passes(0.4)
    begun = len(reader.asked)
    reader.go_on.set()
    passes(0.5)
    assert not writer.asked and len(reader.asked) == begun


def test_each_request_of_a_backlog_is_answered_if_its_client_stays(site):
    """What is read beyond the bound for one connection is rejected in order, and never runs."""
    reader, writer = DelayedReader(), Engine("d")
    gateway = site(reader, writer, release=True)
    count = 40
    with gateway.client() as client:
        client.sock.sendall(request("first"))
        eventually(lambda: reader.asked)
        sending = threading.Thread(
            target=client.sock.sendall, args=(requests_of(count, 200_000),), daemon=True
        )
        sending.start()
        passes(0.5)
        reader.go_on.set()
        statuses = [client.answer().status for _ in range(count + 1)]
        sending.join()
        client.sock.sendall(request("after"))
        assert client.answer().status == 200
    kept = statuses.index(503)
    assert statuses == [200] * kept + [503] * (count + 1 - kept) and kept > 1
    ran = {message["X-Request-ID"] for message in reader.asked}
    assert ran == {"first", "after"} | {f"later-{n}" for n in range(kept - 1)}


def test_no_further_attempt_at_embeddings_begins_for_a_client_that_left_behind_a_backlog(site):
    """The same as for chat; a further attempt would follow the failure of the first."""
    go_on = threading.Event()

    def fail(engine, message, wire):
        go_on.wait(8)
        wire.reply(500)

    engines = [Engine("embed", plan=fail) for _ in range(2)]
    gateway = site(Engine("p"), Engine("d"), *engines, embeddings={}, release=True)
    body = json.dumps({"model": "m", "input": ["text"]}).encode()
    head = f"POST /v1/embeddings HTTP/1.1\r\nHost: o\r\nContent-Length: {len(body)}\r\n\r\n"
    client = Client(gateway.embeddings_address)
    client.sock.sendall(head.encode() + body)
    eventually(lambda: engines[0].asked or engines[1].asked)
    client.sock.sendall((head.encode() + body) * 8000)
    client.__exit__()
    passes(0.4)
    go_on.set()
    passes(0.5)
    assert sum(len(engine.asked) for engine in engines) == 1


def test_the_last_rejection_of_a_backlog_announces_the_end_of_a_stopping_gateway(site):
    reader, writer = DelayedReader(), Engine("d")
    gateway = site(reader, writer, release=True)
    count = 40
    with gateway.client() as client:
        client.sock.sendall(request("first"))
        eventually(lambda: reader.asked)
        gateway.process.send_signal(signal.SIGTERM)
        eventually(lambda: " stopping " in gateway.log())
        sending = threading.Thread(
            target=client.sock.sendall, args=(requests_of(count, 200_000),), daemon=True
        )
        sending.start()
        passes(0.3)
        reader.go_on.set()
        answers = [client.answer() for _ in range(count + 1)]
        sending.join()
        assert {answer.status for answer in answers} == {200, 503}
        assert [answer["connection"] for answer in answers] == [None] * count + ["close"]
        assert client.to_end() == b""
