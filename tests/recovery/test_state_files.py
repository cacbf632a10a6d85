"""The state that outlives a process: trusted when whole, recent and this gateway's; refused
otherwise."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from claycross.config.settings import read_config
from claycross.recovery.persisted_state import (
    FORMAT,
    InvalidStateError,
    PersistedState,
    encode,
    is_newer,
    validate,
)
from claycross.recovery.state_files import StateFiles, unwrap, wrap
from standins.servers import SETTINGS, Client, Engine, eventually

NOW = 1_800_000_000 * 10**9
GOOD = PersistedState(7, NOW - 10**9, {"s-1": NOW - 5 * 10**9}, True, 4242)


def test_a_whole_state_comes_back_as_it_was_written(tmp_path):
    logged = []
    state_files = StateFiles(str(tmp_path), "n0", logged.append)
    assert state_files.save(GOOD)
    assert state_files.load() == GOOD and not logged
    assert not state_files.changed()
    StateFiles(str(tmp_path), "n0", logged.append).save(PersistedState(8, NOW, {}, False, 1))
    assert state_files.changed() and is_newer(state_files.load(), GOOD.sequence)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (lambda f: f | {"format": FORMAT + 1}, "format"),
        (lambda f: f | {"gateway": "n9"}, "written by gateway 'n9'"),
        (lambda f: f | {"written": -1}, "whole number"),
        (lambda f: f | {"written": 1.5}, "whole number"),
        (lambda f: f | {"sequence": "7"}, "whole number"),
        (lambda f: f | {"bans": {"": 1}}, "names no engine"),
        (lambda f: f | {"bans": {f"s-{n}": 1 for n in range(2000)}}, "over"),
        (lambda f: f | {"drained": "yes"}, "wrong kind"),
        (lambda f: [f], "not an object"),
    ],
)
def test_a_state_that_is_foreign_or_garbage_is_refused_with_its_reason(change, why):
    with pytest.raises(InvalidStateError, match=why):
        validate(change(encode(GOOD, "n0")), "n0")


@pytest.mark.parametrize("written", [0, NOW - 7200 * 10**9, NOW + 3600 * 10**9, 2**62])
def test_bans_and_drain_hold_whatever_the_wall_clock_said_when_they_were_written(written):
    """An operator lifts them, not a clock, which may have been stepped between two processes."""
    kept = validate(encode(replace(GOOD, written=written), "n0"), "n0")
    assert (kept.ejected, kept.draining) == (GOOD.ejected, True)


def test_what_was_written_under_other_settings_is_neither_used_nor_removed(tmp_path):
    """Two processes of one name and one folder, under settings that differ; and the file of one
    under the name of the other's."""
    logged = []
    other = StateFiles(str(tmp_path), "n0", logged.append, "aaaa")
    other.save(GOOD)
    mine = StateFiles(str(tmp_path), "n0", logged.append, "bbbb")
    mine.log_unused_files()
    assert mine.load() is None and mine.save(PersistedState(1, NOW, {}, False, 1))
    assert other.load() == GOOD and not other.changed()
    assert len(logged) == 1 and "state-file-rejected" in logged[0] and "other settings" in logged[0]
    os.replace(other.path, tmp_path / "claycross-n0.bbbb.99.1.state")
    assert mine.load() == PersistedState(1, NOW, {}, False, 1) and "other settings" in logged[-1]


@pytest.mark.parametrize(
    "change",
    [
        lambda s: s["categories"][0].update(name="notes"),
        lambda s: s["categories"][0].update(importance=7.0),
        lambda s: s["permissions"].update({"send-cap": 2}),
        lambda s: s.update(tenants=[{"name": "t"}]),
    ],
)
def test_any_name_limit_or_cost_that_differs_makes_another_deployment(tmp_path, change):
    def deployment(settings):
        (tmp_path / "c.json").write_text(
            json.dumps({"settings": settings, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"})
        )
        return read_config(str(tmp_path / "c.json"), {}).deployment

    other = json.loads(json.dumps(SETTINGS))
    change(other)
    again = dict(reversed(SETTINGS.items()))  # the same, in another order
    assert deployment(SETTINGS) == deployment(again) != deployment(other)


def test_no_write_replaces_a_file_in_place(tmp_path):
    """Renaming over a file flushed it to disk first on ext4: 54 ms of the loop, over a second when
    busy."""
    state_files = StateFiles(str(tmp_path), "n0", print)
    names = []
    for n in range(5):
        state_files.save(PersistedState(n, NOW, {}, False, 1))
        names.append(os.path.basename(state_files.path))
        assert [p.name for p in tmp_path.iterdir()] == names[-1:]
    assert len(set(names)) == 5


@pytest.mark.parametrize(
    ("spoil", "why"),
    [
        (lambda data: data[: len(data) // 2], "torn"),
        (lambda data: data.replace(b"s-1", b"s-2"), "check sum"),
        (lambda data: b"\x00\xff" * 40, "torn"),
        (lambda data: b"", "torn"),
        (lambda data: b'{"sha256": 5, "body": []}', "torn"),
    ],
)
def test_a_file_cut_short_or_changed_is_refused_and_logged(tmp_path, spoil, why):
    logged = []
    state_files = StateFiles(str(tmp_path), "n0", logged.append)
    state_files.save(GOOD)
    with open(state_files.path, "rb") as file:
        data = file.read()
    with open(state_files.path, "wb") as file:
        file.write(spoil(data))
    assert state_files.load() is None
    assert len(logged) == 1 and "state-file-rejected" in logged[0] and why in logged[0]


@given(st.binary(max_size=400))
def test_whatever_bytes_are_read_back_they_are_judged_or_refused_never_more(data):
    with contextlib.suppress(InvalidStateError):
        validate(unwrap(data), "n0")


@given(
    st.dictionaries(st.text(min_size=1, max_size=20), st.integers(0, 2**62), max_size=20),
    st.booleans(),
    st.integers(0, 2**40),
)
def test_what_is_written_is_what_is_read(bans, drained, sequence):
    kept = PersistedState(sequence, NOW, bans, drained, 1)
    assert validate(unwrap(wrap(encode(kept, "n0"))), "n0") == kept


def test_what_a_killed_writer_left_behind_is_swept_and_the_last_whole_state_stands(tmp_path):
    state_files = StateFiles(str(tmp_path), "n0", print)
    state_files.save(GOOD)
    left = str(tmp_path / "claycross-n0.9.99999.new")
    with open(left, "wb") as file:
        file.write(
            wrap(encode(PersistedState(9, NOW, {}, False, 99999), "n0"))[:30]
        )  # killed in the middle of it
    state_files.remove_temporary_files()
    assert not os.path.exists(left) and state_files.load() == GOOD


def test_a_folder_that_cant_be_written_leaves_the_state_to_the_process(tmp_path):
    logged = []
    state_files = StateFiles(str(tmp_path / "missing"), "n0", logged.append)
    assert not state_files.save(GOOD) and not state_files.save(GOOD)
    assert len(logged) == 1 and "state-write-failed" in logged[0]


def passed_site(site, tmp_path, *engines):
    held = socket.socket()
    held.bind(("127.0.0.1", 0))
    held.listen(64)
    return site(*engines, door=True, passed=held, tmp=tmp_path / "tmp"), held


def test_a_ban_holds_over_an_upgrade_and_the_new_process_lifts_it(site, tmp_path):
    (tmp_path / "tmp").mkdir()
    reader, one, other = Engine("p"), Engine("d"), Engine("d")
    s, held = passed_site(site, tmp_path, reader, one, other)
    old = s.process
    assert s.call(f"set-down {one.uid}").startswith("ok")
    new = s.start("log.new")
    assert eventually(lambda: "state-restored" in s.log())
    assert "bans=1" in s.log()
    eventually(lambda: s.call("check").startswith("ok"))
    old.send_signal(signal.SIGTERM)
    asked = len(one.asked)
    s.discovery.tell(one.target(boot_ms=1))  # it restarts cold meanwhile, and is listed ready again
    for n in range(20):
        assert s.chat(X_Route_Key=f"u{n}").status == 200
    assert old.wait(5) == 0 and len(one.asked) == asked
    assert s.call(f"set-up {one.uid}").startswith(f"ok {one.uid} is back")
    for n in range(40):
        if len(one.asked) > asked:
            break
        s.chat(X_Route_Key=f"v{n}")
    assert len(one.asked) > asked
    new.send_signal(signal.SIGTERM)
    assert new.wait(5) == 0
    held.close()


def test_a_drain_called_during_an_upgrade_holds_in_the_new_process(site, tmp_path):
    (tmp_path / "tmp").mkdir()
    s, held = passed_site(site, tmp_path, Engine("p"), Engine("d"))
    old = s.process
    old_door = s.door_address
    new = s.start("log.new")
    eventually(lambda: s.call("check").startswith("ok"))
    new_door, s.door_address = s.door_address, old_door
    assert s.call("drain-on").startswith("ok draining")  # at the old process's door, while both run
    s.door_address = new_door
    assert eventually(lambda: "state-adopted" in s.log() and "drained=True" in s.log(), within=3)
    old.send_signal(signal.SIGTERM)
    assert old.wait(5) == 0
    with Client(s.address) as c:
        assert c.send("GET", "/-/ready").answer().status == 503
    assert s.call("drain-off").startswith("ok serving")
    with Client(s.address) as c:
        assert c.send("GET", "/-/ready").answer().status == 200
    new.send_signal(signal.SIGTERM)
    assert new.wait(5) == 0
    held.close()


@pytest.mark.parametrize("spoil", [None, "settings", "cut", "older"])
def test_a_start_takes_only_a_state_of_its_own_settings_and_form(site, tmp_path, spoil):
    folder = tmp_path / "tmp"
    folder.mkdir()
    s = site(Engine("p"), Engine("d"), door=True, tmp=folder)
    assert s.call("drain-on").startswith("ok draining")
    s.process.send_signal(signal.SIGTERM)
    assert s.process.wait(8) == 0
    (left,) = folder.iterdir()
    if spoil == "settings":
        s.config["settings"]["categories"][0]["name"] = "notes"
        s.reconfigure(s.config)
    elif spoil == "cut":
        left.write_bytes(left.read_bytes()[:-40])
    elif spoil == "older":  # as the version before wrote it: no settings in its name, another form
        fields = unwrap(left.read_bytes()) | {"format": 1}
        left.unlink()
        (folder / "claycross-n0.7.1.state").write_bytes(wrap(fields))
    s.start("log.new")
    assert ("state-restored" in s.log()) is (spoil is None)
    assert ("state-file-rejected" in s.log()) is (spoil is not None)
    eventually(lambda: s.call("check").startswith("ok"))
    with Client(s.address) as c:
        assert c.send("GET", "/-/ready").answer().status == (503 if spoil is None else 200)


@pytest.mark.parametrize("left", [b"garbage\n", b'{"sha256":"00","body":"{}"}', None])
def test_a_start_beside_a_spoilt_state_refuses_it_and_serves(site, tmp_path, left):
    folder = tmp_path / "tmp"
    folder.mkdir()
    if left is not None:
        (folder / "claycross-n0.1.1.state").write_bytes(left)
    else:  # another gateway's, whole
        foreign = PersistedState(3, time.time_ns(), {"x": 1}, True, 1)
        (folder / "claycross-n0.1.1.state").write_bytes(wrap(encode(foreign, "n7")))
    s = site(Engine("p"), Engine("d"), door=True, tmp=folder)
    assert "state-file-rejected" in s.log() and "state-restored" not in s.log()
    assert "written by gateway 'n7'" in s.log() or left is not None
    assert s.chat().status == 200
    with Client(s.address) as c:
        assert c.send("GET", "/-/ready").answer().status == 200


WRITER = """
import sys, time
from claycross.recovery.persisted_state import PersistedState
from claycross.recovery.state_files import StateFiles
state_files = StateFiles(sys.argv[1], "n0", print)
n = 0
while True:
    n += 1
    ejected = {f"s-{k}": k for k in range(n % 50)}
    state_files.save(PersistedState(n, time.time_ns(), ejected, n % 2 == 0, n))
    print(n, flush=True)
"""


@pytest.mark.parametrize("after", [0.05, 0.13, 0.31])
def test_a_writer_killed_at_any_moment_leaves_the_last_whole_state(tmp_path, after):
    root = pathlib.Path(__file__).parent.parent.parent
    writer = subprocess.Popen(
        [sys.executable, "-c", WRITER, str(tmp_path)], stdout=subprocess.PIPE, text=True, cwd=root
    )
    assert int(writer.stdout.readline()) >= 1
    time.sleep(after)
    writer.send_signal(signal.SIGKILL)
    writer.wait()
    logged = []
    state_files = StateFiles(str(tmp_path), "n0", logged.append)
    found = state_files.load()
    assert found is not None and found.sequence >= 1 and not logged
    assert len(found.ejected) == found.sequence % 50 and found.draining == (found.sequence % 2 == 0)
    state_files.remove_temporary_files()
    names = [p.name for p in tmp_path.iterdir()]
    assert 1 <= len(names) <= 2 and all(
        n.startswith("claycross-n0.") and n.endswith(".state") for n in names
    )
    state_files.save(found)
    assert len(list(tmp_path.iterdir())) == 1  # the next write lets the older go
