"""System calls that fail on the gateway's own machine, with errors that Linux documents, are not
counted as failures of engines."""

import pytest

from claycross.emulator.system_faults import Field, SystemFaults
from standins.servers import Engine


@pytest.fixture
def faulty_gateway(site, tmp_path):
    faults = SystemFaults(tmp_path, "n0")
    readers, writers = [Engine("p") for _ in range(4)], [Engine("d") for _ in range(4)]
    gateway = site(
        *readers,
        *writers,
        release=True,
        environment=faults.environment(),
        settings={"conn-idle": 0, "dial-timeout": 250_000_000},
    )  # each attempt needs a new connection
    assert gateway.chat().status == 200
    return gateway, faults


@pytest.mark.parametrize(
    ("field", "rate"),
    [
        (Field.CONNECT, 600),
        (Field.SOCKET, 600),
        (Field.ACCEPT, 500),
        (Field.POLL_EINTR, 300),
        (Field.SHORT_IO, 500),
    ],
)
def test_requests_are_served_while_some_system_calls_fail(faulty_gateway, field, rate):
    gateway, faults = faulty_gateway
    faults.set(field, rate)
    statuses = [
        gateway.chat(cls=("browse", "licence")[index % 2], X_Route_Key=f"k{index}").status
        for index in range(40)
    ]
    assert statuses == [200] * 40
    assert faults.get(Field.FAILED) > 10
    assert "excluded-chat" not in gateway.log()


def test_engines_are_used_again_after_all_local_connects_failed(faulty_gateway):
    """Requests are rejected meanwhile; later ones are sent to every engine as before."""
    gateway, faults = faulty_gateway
    faults.set(Field.CONNECT, 1000)
    assert {gateway.chat(X_Route_Key=f"k{index}").status for index in range(6)} == {503}
    faults.clear()
    statuses = [gateway.chat(X_Route_Key=f"k{index}").status for index in range(30)]
    assert statuses == [200] * 30
    assert all(engine.asked for engine in gateway.engines if engine.kind == "d")
