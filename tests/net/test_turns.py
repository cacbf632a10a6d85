"""The budget of a task's turn: what always finds something to do gives way to the others."""

import socket
import time
from collections import Counter

import pytest

from claycross.net.connection import MAX_READ_BYTES, MIN_READ_BYTES
from claycross.net.event_loop import ITERATION_BUDGET_NS, TURN_BUDGET_NS
from claycross.net.loop import MS, SECOND, Connection, EventLoop

GIVE_UP_S = 5  # only ends a test that has failed
BUSY_TASKS = 20


class BusyTasks:
    """Tasks that never park; each counts its turns."""

    def __init__(self, loop, count, background=False):
        self.loop, self.stopped, self.turns = loop, False, Counter()
        self.give_up_at = time.monotonic() + GIVE_UP_S
        for number in range(count):
            loop.spawn(self.run, number, background=background)

    def run(self, number):
        turn = 0
        while not self.stopped:
            assert time.monotonic() < self.give_up_at, "nothing else ran"
            if turn != self.loop.turns:
                turn = self.loop.turns
                self.turns[number] += 1
            self.loop.end_turn_if_due()


@pytest.mark.parametrize("background", [False, True])
def test_timers_descriptors_and_other_tasks_run_beside_tasks_that_never_park(background):
    loop, ran = EventLoop(), []
    busy = BusyTasks(loop, BUSY_TASKS, background)
    near, far = socket.socketpair()
    loop.watch(near.fileno(), 1, lambda mask: (near.recv(1), ran.append("descriptor")))

    def work():
        ran.append("timer")
        far.send(b"x")
        loop.spawn(lambda: (loop.sleep(MS), ran.append("task")))

    loop.call_later(5 * MS, work)
    while len(ran) < 3 and not loop.errors:
        loop.run_iteration()
    busy.stopped = True
    assert sorted(ran) == ["descriptor", "task", "timer"]
    near.close()
    far.close()


def test_tasks_that_never_park_take_turns_and_an_iteration_holds_only_some_of_them():
    """The lag thus doesn't grow with the number of such tasks."""
    loop = EventLoop()
    busy = BusyTasks(loop, BUSY_TASKS)
    loop.run_iteration()  # each one's first turn
    most_turns = 0
    while sum(busy.turns.values()) < 4 * BUSY_TASKS:
        turns_before = loop.turns
        loop.run_iteration()
        most_turns = max(most_turns, loop.turns - turns_before)
    assert max(busy.turns.values()) - min(busy.turns.values()) <= 1
    assert most_turns <= -(-ITERATION_BUDGET_NS // TURN_BUDGET_NS)
    busy.stopped = True
    loop.run_iteration()


def test_a_suspended_task_that_is_woken_runs_once():
    loop, turns = EventLoop(), []

    def work():
        turns.append("first")
        time.sleep(2 * TURN_BUDGET_NS / SECOND)
        loop.end_turn_if_due()
        turns.append("second")
        loop.park()
        turns.append("woken")

    task = loop.spawn(work)
    loop.spawn(loop.wake, task)
    for _ in range(3):
        loop.run_iteration()
    assert turns == ["first", "second"]


def test_a_callback_is_not_suspended():
    loop, calls = EventLoop(), []

    def call():
        time.sleep(2 * TURN_BUDGET_NS / SECOND)
        loop.end_turn_if_due()
        calls.append("went on")

    loop.call_later(0, call)
    while not calls:
        loop.run_iteration()
    assert not loop.turns_ended


def test_less_is_read_at_once_while_handling_it_takes_longer_than_a_turn():
    loop = EventLoop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        far = socket.create_connection(server.getsockname())
        connection = Connection(loop, server.accept()[0])
    far.setblocking(False)
    sizes = []

    def fill():
        try:
            while True:
                far.send(b"x" * MAX_READ_BYTES)
        except BlockingIOError:
            pass

    def read(handling_s):
        for _ in range(8):
            fill()
            sizes.append(len(connection.recv()))
            time.sleep(handling_s)

    loop.spawn(read, 2 * TURN_BUDGET_NS / SECOND)
    while len(sizes) < 8:
        loop.run_iteration()
    assert sizes[0] == MAX_READ_BYTES and sizes[-1] == MIN_READ_BYTES
    loop.spawn(read, 0)
    while len(sizes) < 16:
        loop.run_iteration()
    assert sizes[-1] > MIN_READ_BYTES
    connection.close()
    far.close()


def test_a_slow_call_is_counted_and_logged_with_its_name():
    loop, lines = EventLoop(), []
    loop.log = lines.append

    def slow_work():
        time.sleep(0.05)

    loop.spawn(slow_work)
    loop.spawn(slow_work)
    loop.run_iteration()
    assert loop.slow_calls == 2 and len(lines) == 1 and "slow_work" in lines[0]
    buckets = dict(loop.lag_histogram.cumulative())
    assert buckets["0.05"] == 0 and buckets["+Inf"] == 1
