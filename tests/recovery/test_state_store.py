"""A change that was answered `ok` survives write errors, killed processes and clock steps."""

import contextlib
import signal
import threading

import pytest

from claycross.emulator.system_faults import Field, SystemFaults
from claycross.net.loop import EventLoop
from claycross.recovery.administrative_ejection import AdministrativeEjections
from claycross.recovery.persisted_state import (
    ChangeKind,
    PersistedState,
    StateChange,
    apply_changes,
)
from claycross.recovery.state_files import StateFiles
from claycross.recovery.state_store import StateStore
from standins.servers import Engine, eventually, passes


@pytest.fixture
def faulty_gateway(site, tmp_path):
    """A gateway with readers p-0 and p-1, and injected faults of its state folder."""
    folder = tmp_path / "state"
    folder.mkdir()
    faults = SystemFaults(tmp_path, "n0")
    readers = [Engine("p", "p-0"), Engine("p", "p-1")]
    gateway = site(
        *readers, Engine("d"), door=True, tmp=folder, release=True, environment=faults.environment()
    )
    eventually(lambda: gateway.call("check").startswith("ok"))
    return gateway, faults, readers


def restart(gateway, faults):
    if gateway.process.poll() is None:
        gateway.process.send_signal(signal.SIGKILL)
    gateway.process.wait()
    faults.clear()
    gateway.start("log.next")
    eventually(lambda: gateway.call("check").startswith("ok"))


def receives_no_request(gateway, engine):
    requests_before = len(engine.asked)
    assert [gateway.chat(X_Route_Key=f"k{index}").status for index in range(16)] == [200] * 16
    return len(engine.asked) == requests_before


@pytest.mark.parametrize("field", [Field.WRITE_ERROR, Field.SYNC_ERROR])
def test_ejection_during_a_short_write_failure_is_persisted(faulty_gateway, field):
    gateway, faults, readers = faulty_gateway
    faults.set(field, 1000)
    threading.Timer(0.3, faults.clear).start()
    assert gateway.call("set-down p-1").startswith("ok")
    restart(gateway, faults)
    assert receives_no_request(gateway, readers[1])


@pytest.mark.parametrize("field", [Field.WRITE_ERROR, Field.SYNC_ERROR])
def test_failed_write_is_reported_and_retried(faulty_gateway, field):
    gateway, faults, readers = faulty_gateway
    faults.set(field, 1000)
    reply = gateway.call("set-down p-1", within=1.0)
    assert reply.startswith("fail") and "a restart would forget it" in reply
    assert receives_no_request(gateway, readers[1])  # the ejection applies in this process
    faults.clear()
    # The engine is already ejected; the answer is ok once that is persisted.
    eventually(lambda: gateway.call("set-down p-1").startswith("ok"))
    assert "state-written" in gateway.log()
    restart(gateway, faults)
    assert receives_no_request(gateway, readers[1])


def test_short_writes_are_completed(faulty_gateway):
    gateway, faults, readers = faulty_gateway
    faults.set(Field.SHORT_IO, 1000)
    assert gateway.call("set-down p-1").startswith("ok")
    restart(gateway, faults)
    assert "state-restored" in gateway.log() and receives_no_request(gateway, readers[1])


@pytest.mark.parametrize("field", [Field.KILL_AT_WRITE, Field.KILL_AT_SYNC, Field.KILL_AT_RENAME])
@pytest.mark.parametrize("nth_call", [1, 2])
def test_kill_during_a_write_keeps_the_earlier_ejection(faulty_gateway, field, nth_call):
    gateway, faults, readers = faulty_gateway
    assert gateway.call("set-down p-1").startswith("ok")
    faults.set(field, nth_call)
    for command in ("drain-on", "drain-off"):
        with contextlib.suppress(ConnectionError):  # killed during the command
            gateway.call(command)
    eventually(lambda: gateway.process.poll() is not None)
    restart(gateway, faults)
    assert "state-file-rejected" not in gateway.log()
    assert receives_no_request(gateway, readers[1])


@pytest.mark.parametrize("step_s", [1, -1, 10, -10, 3600, -3600])
def test_ejection_survives_a_wall_clock_step_between_two_processes(faulty_gateway, step_s):
    gateway, faults, readers = faulty_gateway
    assert gateway.call("set-down p-1").startswith("ok")
    passes(0.05)
    faults.set(Field.WALL_OFFSET_NS, step_s * 10**9)
    restart(gateway, faults)
    assert receives_no_request(gateway, readers[1])


def test_pending_changes_are_bounded_and_the_last_for_each_engine_applies():
    """Repeated commands during failing writes leave one pending change per engine and drain."""
    store = StateStore(
        EventLoop(), StateFiles("/nowhere", "n0", print), AdministrativeEjections(), print
    )
    store.writing = True  # a write is in progress and does not finish
    for index in range(300):
        kind = (ChangeKind.DISABLE_ENGINE, ChangeKind.ENABLE_ENGINE)[index % 2]
        store.persist(StateChange(kind, f"p-{index % 3}", index))
        store.persist(StateChange((ChangeKind.START_DRAIN, ChangeKind.STOP_DRAIN)[index % 2]))
    assert len(store.pending) == 4
    state = apply_changes(PersistedState(), store.pending)
    assert state.ejected == {"p-1": 298} and not state.draining
