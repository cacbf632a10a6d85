"""A process that was held up, by SIGSTOP here, counts the time that requests spent waiting for it."""

import pytest

from claycross.emulator.faults import Field, SystemFaults
from standins.servers import Engine, passes
from tests.test_crossings import stopped
from tests.test_pipelining import request


@pytest.mark.parametrize("span", [0.5, 1.5])
def test_an_engine_is_told_what_is_left_to_the_client_after_the_process_was_held_up(site, span):
    writer = Engine("d")
    s = site(Engine("p"), writer, release=True)
    assert s.chat(cls="licence").status == 200
    with s.client() as c:
        with stopped(s.process):
            c.sock.sendall(request("waits"))
            passes(span)
        assert c.answer().status == 200
    assert int(writer.asked[1]["x-timeout-ms"]) <= 6000 - 1000 * span + 150


def test_time_in_the_listening_socket_counts_while_nothing_is_accepted(site, tmp_path):
    faults = SystemFaults(tmp_path, "n0")
    writer = Engine("d")
    s = site(Engine("p"), writer, release=True, environment=faults.environment())
    assert s.chat(cls="licence").status == 200
    faults.set(Field.ACCEPT, 1000)
    with s.client() as c:
        c.sock.sendall(request("waits"))
        passes(1.0)
        faults.clear()
        assert c.answer().status == 200
    assert int(writer.asked[1]["x-timeout-ms"]) <= 6000 - 1000 + 150
