"""State files: written atomically, and used only if complete, valid and of this gateway."""

import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from claycross.config.settings import read_config
from claycross.recovery.administrative_ejection import AdministrativeEjections
from claycross.recovery.persisted_state import (
    FORMAT,
    MAX_EJECTIONS,
    ChangeKind,
    InvalidStateError,
    PersistedState,
    StateChange,
    encode,
    is_newer,
    validate,
)
from claycross.recovery.state_files import MAX_FILE_BYTES, StateFiles, unwrap, wrap
from claycross.recovery.state_store import SNAPSHOT_INTERVAL_NS
from standins.servers import SETTINGS, Client, Engine, chat, eventually, passes

NOW_NS = 1_800_000_000 * 10**9
SAVED_STATE = PersistedState(7, NOW_NS - 10**9, {"s-1": NOW_NS - 5 * 10**9}, True, 4242)


def test_saved_state_is_loaded_unchanged(tmp_path):
    logged = []
    state_files = StateFiles(str(tmp_path), "n0", logged.append)
    assert state_files.save(SAVED_STATE)
    assert state_files.load() == SAVED_STATE and not logged
    assert not state_files.changed()
    StateFiles(str(tmp_path), "n0", logged.append).save(PersistedState(8, NOW_NS, {}, False, 1))
    assert state_files.changed() and is_newer(state_files.load(), SAVED_STATE.sequence)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda fields: fields | {"format": FORMAT + 1}, "format"),
        (lambda fields: fields | {"gateway": "n9"}, "written by gateway 'n9'"),
        (lambda fields: fields | {"written": -1}, "whole number"),
        (lambda fields: fields | {"written": 1.5}, "whole number"),
        (lambda fields: fields | {"sequence": "7"}, "whole number"),
        (lambda fields: fields | {"bans": {"": 1}}, "no valid engine id"),
        (lambda fields: fields | {"bans": {f"s-{n}": 1 for n in range(2000)}}, "over"),
        (lambda fields: fields | {"drained": "yes"}, "wrong type"),
        (lambda fields: [fields], "not a JSON object"),
    ],
)
def test_invalid_state_is_rejected_with_a_reason(change, reason):
    with pytest.raises(InvalidStateError, match=reason):
        validate(change(encode(SAVED_STATE, "n0")), "n0")


@pytest.mark.parametrize("written", [0, NOW_NS - 7200 * 10**9, NOW_NS + 3600 * 10**9, 2**62])
def test_ejections_and_drain_do_not_expire(written):
    """Only an operator ends them; a wall clock may have been stepped between two processes."""
    decoded = validate(encode(replace(SAVED_STATE, written=written), "n0"), "n0")
    assert (decoded.ejected, decoded.draining) == (SAVED_STATE.ejected, True)


def test_files_of_other_settings_are_neither_used_nor_removed(tmp_path):
    """Two processes share a name and a folder but not their settings; then a file of one is renamed
    to a name of the other."""
    logged = []
    other = StateFiles(str(tmp_path), "n0", logged.append, "aaaa")
    other.save(SAVED_STATE)
    own = StateFiles(str(tmp_path), "n0", logged.append, "bbbb")
    own.log_unused_files()
    assert own.load() is None and own.save(PersistedState(1, NOW_NS, {}, False, 1))
    assert other.load() == SAVED_STATE and not other.changed()
    assert len(logged) == 1 and "state-file-rejected" in logged[0] and "other settings" in logged[0]
    os.replace(other.path, tmp_path / "claycross-n0.bbbb.99.1.state")
    assert own.load() == PersistedState(1, NOW_NS, {}, False, 1) and "other settings" in logged[-1]


@pytest.mark.parametrize(
    "change",
    [
        lambda settings: settings["categories"][0].update(name="notes"),
        lambda settings: settings["categories"][0].update(importance=7.0),
        lambda settings: settings["permissions"].update({"send-cap": 2}),
        lambda settings: settings.update(tenants=[{"name": "t"}]),
    ],
)
def test_any_changed_setting_makes_another_deployment(tmp_path, change):
    def deployment(settings_fields):
        (tmp_path / "c.json").write_text(
            json.dumps(
                {"settings": settings_fields, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}
            )
        )
        return read_config(str(tmp_path / "c.json"), {}).deployment

    other = json.loads(json.dumps(SETTINGS))
    change(other)
    reordered = dict(reversed(SETTINGS.items()))  # same settings in another order
    assert deployment(SETTINGS) == deployment(reordered) != deployment(other)


def test_writes_never_replace_an_existing_file(tmp_path):
    """On ext4, renaming over an existing file first flushed it to disk, which blocked the event
    loop for 54 ms, and for over a second on a busy disk."""
    state_files = StateFiles(str(tmp_path), "n0", print)
    names = []
    for n in range(5):
        state_files.save(PersistedState(n, NOW_NS, {}, False, 1))
        names.append(os.path.basename(state_files.path))
        assert [path.name for path in tmp_path.iterdir()] == names[-1:]
    assert len(set(names)) == 5


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (lambda data: data[: len(data) // 2], "truncated or corrupt"),
        (lambda data: data.replace(b"s-1", b"s-2"), "checksum mismatch"),
        (lambda data: b"\x00\xff" * 40, "truncated or corrupt"),
        (lambda data: b"", "truncated or corrupt"),
        (lambda data: b'{"sha256": 5, "body": []}', "truncated or corrupt"),
    ],
)
def test_truncated_or_changed_file_is_rejected_and_logged(tmp_path, corrupt, reason):
    logged = []
    state_files = StateFiles(str(tmp_path), "n0", logged.append)
    state_files.save(SAVED_STATE)
    with open(state_files.path, "rb") as file:
        data = file.read()
    with open(state_files.path, "wb") as file:
        file.write(corrupt(data))
    assert state_files.load() is None
    assert len(logged) == 1 and "state-file-rejected" in logged[0] and reason in logged[0]


@given(st.binary(max_size=400))
def test_arbitrary_bytes_are_decoded_or_rejected(data):
    with contextlib.suppress(InvalidStateError):
        validate(unwrap(data), "n0")


@given(
    st.dictionaries(st.text(min_size=1, max_size=20), st.integers(0, 2**62), max_size=20),
    st.booleans(),
    st.integers(0, 2**40),
)
def test_encoded_state_decodes_unchanged(ejected, draining, sequence):
    state = PersistedState(sequence, NOW_NS, ejected, draining, 1)
    assert validate(unwrap(wrap(encode(state, "n0"))), "n0") == state


# Ids of all lengths that a list of engines may have, among them such as JSON writes with escapes.
ENGINE_IDS = st.text(min_size=1, max_size=40) | st.builds(
    lambda text, count: text * count, st.text(min_size=1, max_size=3), st.integers(1, 200_000)
)


@settings(deadline=None, max_examples=60, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(ENGINE_IDS, unique=True, max_size=12))
def test_every_ejection_that_an_operator_was_granted_is_read_back(ids):
    """Guards against a state that is written and then rejected: `ok` was said, and it is lost."""
    ejections = AdministrativeEjections()
    for engine in ids:
        ejections.remember(engine)
    granted = [engine for engine in ids if ejections.disable(engine, NOW_NS).succeeded]
    with tempfile.TemporaryDirectory() as folder:
        logged = []
        assert StateFiles(folder, "n0", logged.append).save(
            PersistedState(1, NOW_NS, ejections.state(), True, 1)
        )
        loaded = StateFiles(folder, "n0", logged.append).load()
    assert loaded is not None and list(loaded.ejected) == sorted(granted) and not logged


def test_as_many_ejections_as_are_granted_fit_into_a_file(tmp_path):
    ejections = AdministrativeEjections()
    for number in range(MAX_EJECTIONS):
        engine = f"{number:05d}" + "\U0001f3b5" * 123
        ejections.remember(engine)
        ejections.disable(engine, 2**62)
    assert len(ejections.ejected) > MAX_EJECTIONS // 2
    state = PersistedState(2**62, 2**62, ejections.state(), True, 2**31)
    assert StateFiles(str(tmp_path), "n0", print).save(state)
    assert StateFiles(str(tmp_path), "n0", print).load() == state


def test_a_state_that_could_not_be_read_back_is_not_written(tmp_path):
    logged = []
    files = StateFiles(str(tmp_path), "n0", logged.append)
    assert files.save(SAVED_STATE)
    assert not files.save(replace(SAVED_STATE, sequence=8, ejected={"x" * MAX_FILE_BYTES: 1}))
    assert "state-write-failed" in logged[0] and files.load() == SAVED_STATE


def test_a_file_of_an_older_version_with_a_large_snapshot_is_read(tmp_path):
    """Older versions wrote the snapshot into the state file, which was over 1 MiB then."""
    old = replace(SAVED_STATE, snapshot={"sessions": {"x" * 3_000_000: 1}})
    assert StateFiles(str(tmp_path), "n0", print).save(old)
    files = StateFiles(str(tmp_path), "n0", print)
    assert files.load() == old
    written = files.update(old, [StateChange(ChangeKind.DISABLE_ENGINE, "s-2", NOW_NS)])
    assert written.ejected.keys() == {"s-1", "s-2"} and written.snapshot is None


def test_temporary_file_of_a_killed_writer_is_removed(tmp_path):
    state_files = StateFiles(str(tmp_path), "n0", print)
    state_files.save(SAVED_STATE)
    leftover = str(tmp_path / "claycross-n0.9.99999.new")
    with open(leftover, "wb") as file:
        # The process was killed after the first bytes.
        file.write(wrap(encode(PersistedState(9, NOW_NS, {}, False, 99999), "n0"))[:30])
    state_files.remove_temporary_files()
    assert not os.path.exists(leftover) and state_files.load() == SAVED_STATE


def test_failed_writes_in_a_row_are_logged_once(tmp_path):
    logged = []
    state_files = StateFiles(str(tmp_path / "missing"), "n0", logged.append)
    assert not state_files.save(SAVED_STATE) and not state_files.save(SAVED_STATE)
    assert len(logged) == 1 and "state-write-failed" in logged[0]


def site_with_shared_listener(site, tmp_path, *engines):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    return site(*engines, door=True, passed=listener, tmp=tmp_path / "tmp"), listener


def test_ejection_survives_an_upgrade_and_is_ended_by_the_new_process(site, tmp_path):
    (tmp_path / "tmp").mkdir()
    reader, ejected, other = Engine("p"), Engine("d"), Engine("d")
    gateway, listener = site_with_shared_listener(site, tmp_path, reader, ejected, other)
    old_process = gateway.process
    assert gateway.call(f"set-down {ejected.uid}").startswith("ok")
    new_process = gateway.start("log.new")
    assert eventually(lambda: "state-restored" in gateway.log())
    assert "bans=1" in gateway.log()
    eventually(lambda: gateway.call("check").startswith("ok"))
    old_process.send_signal(signal.SIGTERM)
    requests_before = len(ejected.asked)
    # The engine restarts meanwhile, with an empty cache, and is listed as ready again.
    gateway.discovery.tell(ejected.target(boot_ms=1))
    for n in range(20):
        assert gateway.chat(X_Route_Key=f"u{n}").status == 200
    assert old_process.wait(5) == 0 and len(ejected.asked) == requests_before
    assert gateway.call(f"set-up {ejected.uid}").startswith(f"ok {ejected.uid} is back")
    for n in range(40):
        if len(ejected.asked) > requests_before:
            break
        gateway.chat(X_Route_Key=f"v{n}")
    assert len(ejected.asked) > requests_before
    new_process.send_signal(signal.SIGTERM)
    assert new_process.wait(5) == 0
    listener.close()


LONG_NAME = "音" * 40  # in UTF-8 as long as a name may be, with a number before it


def test_ejection_survives_an_upgrade_beside_many_sessions_with_long_names(site, tmp_path):
    """Guards against review case 8: the warm-start snapshot made the state file too large to read,
    so that a change that was answered `ok` was lost in an upgrade.
    """
    (tmp_path / "tmp").mkdir()
    gateway, listener = site_with_shared_listener(
        site, tmp_path, Engine("p"), Engine("p", "p-out"), Engine("d")
    )
    with gateway.client() as client:
        for number in range(1100):
            key = f"{number:05d}{LONG_NAME}"
            attributes = f"prompt_len=800,max_out=5,prefix={key},prefix_len=300"
            assert chat(client, X_Route_Key=key, X_Attrs=attributes).answer().status == 200
    old_process = gateway.process
    assert gateway.call("set-down p-out").startswith("ok")
    passes(SNAPSHOT_INTERVAL_NS / 10**9)
    assert gateway.call("drain-on").startswith("ok")
    new_process = gateway.start("log.new")
    eventually(lambda: gateway.call("check").startswith("ok"))
    assert "bans=1 drained=True" in gateway.log() and "rejected" not in gateway.log()
    assert re.search(r"warm-start-restored engines=\d+ of=\d+ sessions=[1-9]", gateway.log())
    assert "is out already" in gateway.call("set-down p-out")
    for process in (old_process, new_process):
        process.send_signal(signal.SIGTERM)
        assert process.wait(6) == 0
    listener.close()


def test_drain_started_during_an_upgrade_applies_to_the_new_process(site, tmp_path):
    (tmp_path / "tmp").mkdir()
    gateway, listener = site_with_shared_listener(site, tmp_path, Engine("p"), Engine("d"))
    old_process = gateway.process
    old_admin_address = gateway.door_address
    new_process = gateway.start("log.new")
    eventually(lambda: gateway.call("check").startswith("ok"))
    new_admin_address, gateway.door_address = gateway.door_address, old_admin_address
    # At the admin socket of the old process, while both run.
    assert gateway.call("drain-on").startswith("ok draining")
    gateway.door_address = new_admin_address
    assert eventually(
        lambda: "state-adopted" in gateway.log() and "drained=True" in gateway.log(), within=3
    )
    old_process.send_signal(signal.SIGTERM)
    assert old_process.wait(5) == 0
    with Client(gateway.address) as client:
        assert client.send("GET", "/-/ready").answer().status == 503
    assert gateway.call("drain-off").startswith("ok serving")
    with Client(gateway.address) as client:
        assert client.send("GET", "/-/ready").answer().status == 200
    new_process.send_signal(signal.SIGTERM)
    assert new_process.wait(5) == 0
    listener.close()


@pytest.mark.parametrize("corrupt", [None, "settings", "cut", "older"])
def test_start_restores_only_a_valid_state_of_the_same_settings(site, tmp_path, corrupt):
    folder = tmp_path / "tmp"
    folder.mkdir()
    gateway = site(Engine("p"), Engine("d"), door=True, tmp=folder)
    assert gateway.call("drain-on").startswith("ok draining")
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.process.wait(8) == 0
    (leftover,) = folder.iterdir()
    if corrupt == "settings":
        gateway.config["settings"]["categories"][0]["name"] = "notes"
        gateway.reconfigure(gateway.config)
    elif corrupt == "cut":
        leftover.write_bytes(leftover.read_bytes()[:-40])
    elif corrupt == "older":
        # Format 1, which the previous version wrote without a deployment in the file name.
        fields = unwrap(leftover.read_bytes()) | {"format": 1}
        leftover.unlink()
        (folder / "claycross-n0.7.1.state").write_bytes(wrap(fields))
    gateway.start("log.new")
    assert ("state-restored" in gateway.log()) is (corrupt is None)
    assert ("state-file-rejected" in gateway.log()) is (corrupt is not None)
    eventually(lambda: gateway.call("check").startswith("ok"))
    with Client(gateway.address) as client:
        assert client.send("GET", "/-/ready").answer().status == (503 if corrupt is None else 200)


@pytest.mark.parametrize("leftover", [b"garbage\n", b'{"sha256":"00","body":"{}"}', None])
def test_start_with_an_invalid_state_file_rejects_it_and_serves(site, tmp_path, leftover):
    folder = tmp_path / "tmp"
    folder.mkdir()
    if leftover is not None:
        (folder / "claycross-n0.1.1.state").write_bytes(leftover)
    else:  # a valid state of another gateway
        foreign = PersistedState(3, time.time_ns(), {"x": 1}, True, 1)
        (folder / "claycross-n0.1.1.state").write_bytes(wrap(encode(foreign, "n7")))
    gateway = site(Engine("p"), Engine("d"), door=True, tmp=folder)
    assert "state-file-rejected" in gateway.log() and "state-restored" not in gateway.log()
    assert "written by gateway 'n7'" in gateway.log() or leftover is not None
    assert gateway.chat().status == 200
    with Client(gateway.address) as client:
        assert client.send("GET", "/-/ready").answer().status == 200


WRITER_PROGRAM = """
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


@pytest.mark.parametrize("kill_delay_s", [0.05, 0.13, 0.31])
def test_killed_writer_leaves_a_complete_state(tmp_path, kill_delay_s):
    root = pathlib.Path(__file__).parent.parent.parent
    writer = subprocess.Popen(
        [sys.executable, "-c", WRITER_PROGRAM, str(tmp_path)],
        stdout=subprocess.PIPE,
        text=True,
        cwd=root,
    )
    assert int(writer.stdout.readline()) >= 1
    time.sleep(kill_delay_s)
    writer.send_signal(signal.SIGKILL)
    writer.wait()
    logged = []
    state_files = StateFiles(str(tmp_path), "n0", logged.append)
    found = state_files.load()
    assert found is not None and found.sequence >= 1 and not logged
    assert len(found.ejected) == found.sequence % 50 and found.draining == (found.sequence % 2 == 0)
    state_files.remove_temporary_files()
    names = [path.name for path in tmp_path.iterdir()]
    assert 1 <= len(names) <= 2 and all(
        n.startswith("claycross-n0.") and n.endswith(".state") for n in names
    )
    state_files.save(found)
    assert len(list(tmp_path.iterdir())) == 1  # the write removed the older generation
