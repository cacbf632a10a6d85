"""What an operator was answered `ok` is kept, whatever the folder and the process meet."""

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
def kept(site, tmp_path):
    """A gateway with readers p-0 and p-1 whose state's folder fails as told."""
    folder = tmp_path / "state"
    folder.mkdir()
    faults = SystemFaults(tmp_path, "n0")
    readers = [Engine("p", "p-0"), Engine("p", "p-1")]
    s = site(
        *readers, Engine("d"), door=True, tmp=folder, release=True, environment=faults.environment()
    )
    eventually(lambda: s.call("check").startswith("ok"))
    return s, faults, readers


def restart(s, faults):
    if s.process.poll() is None:
        s.process.send_signal(signal.SIGKILL)
    s.process.wait()
    faults.clear()
    s.start("log.next")
    eventually(lambda: s.call("check").startswith("ok"))


def gets_nothing(s, engine):
    before = len(engine.asked)
    assert [s.chat(X_Route_Key=f"k{n}").status for n in range(16)] == [200] * 16
    return len(engine.asked) == before


@pytest.mark.parametrize("field", [Field.WRITE_ERROR, Field.SYNC_ERROR])
def test_a_ban_made_while_the_folder_fails_for_a_moment_is_kept(kept, field):
    s, faults, readers = kept
    faults.set(field, 1000)
    threading.Timer(0.3, faults.clear).start()
    assert s.call("set-down p-1").startswith("ok")
    restart(s, faults)
    assert gets_nothing(s, readers[1])


@pytest.mark.parametrize("field", [Field.WRITE_ERROR, Field.SYNC_ERROR])
def test_while_the_folder_fails_the_answer_says_so_and_the_change_is_kept_later(kept, field):
    s, faults, readers = kept
    faults.set(field, 1000)
    reply = s.call("set-down p-1", within=1.0)
    assert reply.startswith("fail") and "a restart would forget it" in reply
    assert gets_nothing(s, readers[1])  # here it counts all the same
    faults.clear()
    eventually(lambda: s.call("set-down p-1").startswith("ok"))  # out already, and kept by now
    assert "state-written" in s.log()
    restart(s, faults)
    assert gets_nothing(s, readers[1])


def test_short_writes_are_gone_on_with(kept):
    s, faults, readers = kept
    faults.set(Field.SHORT_IO, 1000)
    assert s.call("set-down p-1").startswith("ok")
    restart(s, faults)
    assert "state-restored" in s.log() and gets_nothing(s, readers[1])


@pytest.mark.parametrize("field", [Field.KILL_AT_WRITE, Field.KILL_AT_SYNC, Field.KILL_AT_RENAME])
@pytest.mark.parametrize("at", [1, 2])
def test_a_kill_in_the_midst_of_a_write_leaves_the_ban_before_it(kept, field, at):
    s, faults, readers = kept
    assert s.call("set-down p-1").startswith("ok")
    faults.set(field, at)
    for call in ("drain-on", "drain-off"):
        with contextlib.suppress(ConnectionError):  # killed in the midst of the call
            s.call(call)
    eventually(lambda: s.process.poll() is not None)
    restart(s, faults)
    assert "state-file-rejected" not in s.log()
    assert gets_nothing(s, readers[1])


@pytest.mark.parametrize("step", [1, -1, 10, -10, 3600, -3600])
def test_a_ban_outlives_a_wall_clock_that_is_stepped_between_two_processes(kept, step):
    s, faults, readers = kept
    assert s.call("set-down p-1").startswith("ok")
    passes(0.05)
    faults.set(Field.WALL_OFFSET_NS, step * 10**9)
    restart(s, faults)
    assert gets_nothing(s, readers[1])


def test_changes_that_are_not_kept_yet_are_bounded_and_the_last_of_each_counts():
    """Called again and again while the folder fails, an operator leaves one change for each
    engine."""
    store = StateStore(
        EventLoop(), StateFiles("/nowhere", "n0", print), AdministrativeEjections(), print
    )
    store.writing = True  # a write is under way, and does not come to an end
    for n in range(300):
        kind = (ChangeKind.DISABLE_ENGINE, ChangeKind.ENABLE_ENGINE)[n % 2]
        store.persist(StateChange(kind, f"p-{n % 3}", n))
        store.persist(StateChange((ChangeKind.START_DRAIN, ChangeKind.STOP_DRAIN)[n % 2]))
    assert len(store.pending) == 4
    state = apply_changes(PersistedState(), store.pending)
    assert state.ejected == {"p-1": 298} and not state.draining
