"""The account of streams: its books for any order of events, and each hard case by hand, in virtual
time."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from claycross.upstream.stream_accounting import StreamAccount
from claycross.upstream.stream_records import (
    LAST_ID,
    MS,
    NO_LAST,
    SECOND,
    Close,
    ConnectionLimits,
    Dial,
    Grant,
    Over,
    Phase,
    Ping,
    StreamOutcome,
    StreamStage,
)

LIMITS = ConnectionLimits(
    max_connections=2,
    max_streams=50,
    max_waiting=5,
    request_wait=250 * MS,
    idle_timeout=4 * SECOND,
    max_overhead_frames=100,
)


class Driver:
    """Carries out orders as a driver would, and keeps what they said."""

    def __init__(self, **limits):
        self.account, self.now = StreamAccount(replace(LIMITS, **limits)), SECOND
        self.over, self.pinged, self.closed, self.dialled, self.begun = {}, [], [], [], []
        self.next = {}  # stream ids, by connection

    def work(self):
        while order := self.account.order(self.now):
            match order:
                case Grant(t):
                    link = t.connection
                    assert (
                        link.phase is Phase.READY and link.open <= link.limit and not link.blocked
                    )
                    number = self.next[link] = self.next.get(link, -1) + 2
                    self.account.begun(t, number)
                    self.begun.append(t)
                case Over(t, outcome, why):
                    assert t not in self.over and t.outcome is outcome
                    self.over[t] = outcome, why
                case Ping(link):
                    self.pinged.append(link)
                case Close(link):
                    self.closed.append(link)
                case Dial(link):
                    self.dialled.append(link)
        self.account.check()

    def pass_time(self, span):
        self.now += span
        self.account.tick(self.now)
        self.work()

    def ask(self, call=False):
        ticket = self.account.ask(call, self.now, None)
        self.work()
        return ticket

    def tell(self, name, *args, timed=True):
        getattr(self.account, name)(*args, *([self.now] if timed else []))
        self.work()

    def link(self, limit=10):
        """A connection that is ready."""
        first = self.ask()
        self.tell("ready", self.dialled[-1], limit)
        if first.stage is StreamStage.BEGUN:
            self.send(first)
            self.tell("answered", first)
        return self.dialled[-1]

    def send(self, *tickets):
        for t in tickets:
            self.account.committed(t)
            self.account.sent(t.connection, t.stream)


@pytest.mark.parametrize(("last", "code"), [(3, 0), (3, 2), (0, 11), (NO_LAST, 0)])
def test_what_lies_over_the_last_id_of_a_goaway_never_ran(last, code):
    d = Driver()
    link = d.link()  # took stream 1
    tickets = [d.ask() for _ in range(3)]  # 3, 5, 7
    d.send(*tickets)
    d.tell("goaway", link, last, code)
    assert {t.stream: d.over[t] for t in d.over} == {
        t.stream: (StreamOutcome.NOT_PROCESSED, "goaway") for t in tickets if t.stream > last
    }
    d.tell("broken", link)
    assert [d.over[t][0] for t in tickets if t.stream <= last] == [
        StreamOutcome.UNCERTAIN for t in tickets if t.stream <= last
    ]


def test_a_goaway_in_two_steps_takes_nothing_new_after_the_first():
    d = Driver()
    link = d.link()
    old = [d.ask(), d.ask()]
    d.send(*old)
    d.tell("goaway", link, NO_LAST, 0)
    later = d.ask()
    assert later.stage is StreamStage.WAITING and not d.over and len(d.dialled) == 2
    d.tell("ready", d.dialled[1], 10)
    assert later.connection is d.dialled[1]
    d.tell("goaway", link, old[0].stream, 0)
    assert d.over == {old[1]: (StreamOutcome.NOT_PROCESSED, "goaway")}
    d.tell("answered", old[0])
    d.pass_time(MS)
    assert d.closed == [link] and later.stage is StreamStage.BEGUN


def test_a_goaway_that_rises_is_trusted_no_more():
    d = Driver()
    link = d.link()
    tickets = [d.ask(), d.ask()]
    d.send(*tickets)
    d.tell("goaway", link, 3, 0)
    assert d.over == {tickets[1]: (StreamOutcome.NOT_PROCESSED, "goaway")}
    d.tell("goaway", link, 5, 0)
    assert d.over[tickets[0]][0] is StreamOutcome.UNCERTAIN and d.closed == [link]
    assert d.over[tickets[1]][0] is StreamOutcome.NOT_PROCESSED  # once said


@pytest.mark.parametrize(
    ("steps", "never"),
    [
        ((), True),
        (("committed",), True),
        (("committed", "sent"), False),
        (("answering",), False),
        (("committed", "answering"), False),
    ],
)
def test_a_broken_connection_leaves_in_doubt_what_was_wholly_written(steps, never):
    d = Driver()
    link, t = d.link(), d.ask()
    for step in steps:
        getattr(d.account, step)(*([t] if step == "committed" else [link, t.stream]))
    d.tell("broken", link)
    assert d.over[t][0] is (StreamOutcome.NOT_PROCESSED if never else StreamOutcome.UNCERTAIN)


@pytest.mark.parametrize("answering", [False, True])
@pytest.mark.parametrize("refused", [False, True])
def test_a_refused_stream_never_ran_unless_it_is_being_answered(refused, answering):
    d = Driver()
    link, t = d.link(), d.ask()
    d.send(t)
    if answering:
        d.account.answering(link, t.stream)
    d.tell("reset", link, t.stream, refused)
    assert d.over[t][0] is (
        StreamOutcome.NOT_PROCESSED if refused and not answering else StreamOutcome.UNCERTAIN
    )
    d.tell("reset", link, t.stream, refused)  # again, and for streams that nobody knows: nothing
    d.tell("reset", link, 999, True)
    d.tell("answered", t)
    assert len(d.over) == 1


def test_a_limit_of_one_does_not_become_a_flood_of_connections():
    d = Driver()
    link = d.link(limit=1)
    tickets = [d.ask() for _ in range(4)]
    assert [t.stage for t in tickets] == [
        StreamStage.BEGUN,
        StreamStage.WAITING,
        StreamStage.WAITING,
        StreamStage.WAITING,
    ]
    d.tell("ready", d.dialled[1], 1)
    assert tickets[1].connection is d.dialled[1] and len(d.dialled) == 2 and link.open == 1
    d.send(tickets[0])
    d.tell("answered", tickets[0])
    assert tickets[2].connection is link and d.begun[-1] is tickets[2]
    call = d.ask(call=True)  # one more, for calls alone
    assert call.stage is StreamStage.WAITING and len(d.dialled) == 3
    d.tell("ready", d.dialled[2], 1)
    assert call.connection is d.dialled[2] and tickets[3].stage is StreamStage.WAITING


def test_the_limit_lowered_to_nought_and_back():
    d = Driver()
    link = d.link()
    running = [d.ask() for _ in range(4)]
    d.send(*running)
    d.tell("limited", link, 2, timed=False)
    waits = d.ask()
    assert waits.stage is StreamStage.WAITING and all(t.stage is StreamStage.SENT for t in running)
    assert len(d.dialled) == 2  # another is tried for, and has the same limit
    d.tell("ready", d.dialled[1], 0)
    d.tell("limited", link, 0, timed=False)
    for t in running:
        d.tell("answered", t)
    assert (
        waits.stage is StreamStage.WAITING and len(d.dialled) == 2
    )  # nought is its word: no third
    d.tell("limited", link, 1, timed=False)
    assert waits.stage is StreamStage.BEGUN


def test_waiting_is_bounded_in_number_and_time_and_ends_as_never_ran():
    d = Driver()
    d.link(limit=0)
    waiting = [d.ask() for _ in range(8)]
    # one was there before
    assert [d.over.get(t) for t in waiting] == [None] * 4 + [
        (StreamOutcome.NOT_PROCESSED, "too many wait")
    ] * 4
    d.pass_time(249 * MS)
    assert len(d.over) == 4
    d.pass_time(MS)
    assert {d.over[t] for t in waiting[:4]} == {
        (StreamOutcome.NOT_PROCESSED, "no place")
    } and not d.account.waits


def test_calls_go_first_and_one_place_is_kept_for_them():
    d = Driver()
    d.link(limit=4)
    requests = [d.ask() for _ in range(4)]
    call = d.ask(call=True)
    assert [t.stage for t in requests] == [StreamStage.BEGUN] * 3 + [
        StreamStage.WAITING
    ] and call.stage is StreamStage.BEGUN


def test_a_dead_connection_is_known_by_its_silence_while_streams_are_out():
    d = Driver()
    link, t = d.link(), d.ask()
    d.send(t)
    d.pass_time(999 * MS)
    assert not d.pinged
    d.pass_time(MS)
    assert d.pinged == [link]
    d.pass_time(999 * MS)
    d.tell("heard", link)  # any sign of life will do
    d.pass_time(SECOND)
    assert d.pinged == [link, link] and not d.closed
    d.pass_time(SECOND)
    assert d.closed == [link] and d.over[t] == (StreamOutcome.UNCERTAIN, "no sign of life")


def test_an_idle_connection_is_retired_and_one_near_its_last_id_too():
    d = Driver()
    link = d.link()
    d.pass_time(3999 * MS)
    assert not d.closed and not d.pinged
    d.pass_time(MS)
    assert d.closed == [link] and not d.account.links
    other = d.link()
    d.next[other] = LAST_ID - 2
    t = d.ask()
    assert other.phase is Phase.CLOSING
    d.send(t)
    d.tell("answered", t)
    d.pass_time(MS)
    assert d.closed == [link, other]


@pytest.mark.parametrize(
    ("how", "proven", "why", "speaks", "later"),
    [
        ("refused", False, "no connection", True, True),
        ("refused", True, "no connection", True, True),
        ("junk", False, "not spoken", False, False),
        ("junk", True, "not spoken", False, False),
        ("silent", False, "not spoken", False, True),
        ("closed", False, "not spoken", False, True),
        ("closed", True, "held back", True, True),
    ],
)
def test_a_connection_that_does_not_come_up(how, proven, why, speaks, later):
    d = Driver()
    if proven:
        d.tell("broken", d.link())
    t = d.ask()
    d.tell("unopened", d.dialled[-1], how)
    assert d.over[t] == (StreamOutcome.NOT_PROCESSED, why) and d.account.speaks(d.now) is speaks
    d.pass_time(30 * SECOND)
    assert d.account.speaks(d.now) is later
    d.account.anew()
    assert d.account.speaks(d.now)


def test_silence_in_place_of_settings_ends_the_opening():
    d = Driver()
    t = d.ask()
    d.pass_time(300 * MS)
    assert d.over[t][0] is StreamOutcome.NOT_PROCESSED and d.closed == d.dialled
    d.tell("ready", d.dialled[0], 9)  # too late
    assert not d.account.links


def test_connections_that_serve_nothing_are_opened_ever_more_slowly():
    d = Driver()
    d.tell("broken", d.link())
    gaps = []
    for _ in range(9):
        start = d.now
        before = len(d.dialled)
        while len(d.dialled) == before:
            d.ask()
            d.pass_time(10 * MS)
        gaps.append((d.now - start) // MS)
        d.tell("ready", d.dialled[-1], 5)
        d.tell("goaway", d.dialled[-1], 0, 11)
        d.tell("broken", d.dialled[-1])
    assert gaps == [10, 110, 210, 410, 810, 1610, 3210, 5010, 5010]


def test_a_flood_of_frames_that_carry_nothing_ends_the_connection():
    d = Driver()
    link, t = d.link(), d.ask()
    d.send(t)
    for _ in range(40):
        d.now += 100 * MS
        d.tell("heard", link, d.now, 5, timed=False)  # 50 a second are borne
    assert not d.closed
    d.tell("heard", link, d.now, 101, timed=False)
    assert d.closed == [link] and d.over[t][0] is StreamOutcome.UNCERTAIN


def test_what_left_the_list_goes_on_and_takes_nothing_new():
    d = Driver()
    link, t = d.link(), d.ask()
    d.send(t)
    d.tell("leave_list")
    late = d.ask()
    assert d.over == {late: (StreamOutcome.NOT_PROCESSED, "left the list")}
    d.tell("answered", t)
    d.pass_time(MS)
    assert d.closed == [link] and t.outcome is StreamOutcome.ANSWERED


N = st.integers(0, 30)  # picks one of what there is


class Books(RuleBasedStateMachine):
    """Against a server that is modelled apart: what it has run, and what it has said it will
    not."""

    def __init__(self):
        super().__init__()
        self.d = Driver(max_connections=3)
        self.tickets, self.withdrawn = [], {}
        self.ran = set()  # tickets that the server runs or has run
        self.shut = {}  # connection -> the last id that the server will run

    def live(self, *at):
        return [t for t in self.tickets if t.stage in at]

    def links(self, *phases):
        return [x for x in self.d.account.links if x.phase in (phases or Phase)]

    @rule(
        call=st.booleans(),
        limit=st.integers(1, 6),
        up=st.sampled_from(["ready"] * 4 + ["refused", "no"]),
    )
    def ask(self, call, limit, up):
        self.tickets.append(self.d.ask(call))
        for link in self.links(Phase.OPENING):
            if up != "no":
                self.d.tell(*(("ready", link, limit) if up == "ready" else ("unopened", link, up)))

    @rule(span=st.sampled_from([MS, MS, 60 * MS, 300 * MS, 1100 * MS, 5 * SECOND]))
    def time(self, span):
        self.d.pass_time(span)

    @precondition(lambda self: self.links())
    @rule(n=N, limit=st.integers(0, 6))
    def limit(self, n, limit):
        self.d.tell("limited", self.links()[n % len(self.links())], limit, timed=False)

    @precondition(lambda self: self.live(StreamStage.BEGUN, StreamStage.COMMITTED))
    @rule(n=N, whole=st.booleans())
    def write(self, n, whole):
        found = self.live(StreamStage.BEGUN, StreamStage.COMMITTED)
        t = found[n % len(found)]
        if t.stage is StreamStage.BEGUN:
            self.d.account.committed(t)
        if whole:
            self.d.account.sent(t.connection, t.stream)

    @precondition(lambda self: self.live(StreamStage.SENT))
    @rule(n=N, how=st.sampled_from(["", "answering", "answered"]))
    def run(self, n, how):
        t = self.live(StreamStage.SENT)[n % len(self.live(StreamStage.SENT))]
        if t.stream <= self.shut.get(t.connection, NO_LAST):
            self.ran.add(t)
            if how:
                self.d.account.answering(t.connection, t.stream)
            if how == "answered":
                self.d.tell("answered", t)

    @precondition(
        lambda self: self.live(StreamStage.BEGUN, StreamStage.COMMITTED, StreamStage.SENT)
    )
    @rule(n=N, refused=st.booleans())
    def reset(self, n, refused):
        """A server that keeps to the rules refuses only what it has not run; one that has begun to
        answer may say so all the same, and is not believed."""
        found = self.live(StreamStage.BEGUN, StreamStage.COMMITTED, StreamStage.SENT)
        t = found[n % len(found)]
        self.d.tell("reset", t.connection, t.stream, refused and (t not in self.ran or t.answering))

    @precondition(lambda self: self.tickets)
    @rule(n=N)
    def withdraw(self, n):
        t = self.tickets[-1 - n % len(self.tickets)]
        committed, over = (
            t.stage in (StreamStage.COMMITTED, StreamStage.SENT),
            t.stage is StreamStage.OVER,
        )
        outcome = self.d.account.withdraw(t, self.d.now)
        self.d.work()
        if not over:
            self.withdrawn[t] = outcome
            if committed:
                self.ran.add(t)  # its end may yet arrive

    @precondition(lambda self: self.links(Phase.READY, Phase.CLOSING))
    @rule(n=N, code=st.sampled_from([0, 0, 2, 11]), far=st.sampled_from([NO_LAST, 0, 4]))
    def goaway(self, n, code, far):
        found = self.links(Phase.READY, Phase.CLOSING)
        link = found[n % len(found)]
        ran = [t.stream for t in self.ran if t.connection is link]
        last = NO_LAST if far == NO_LAST else max(ran, default=0) + far
        self.shut[link] = min(last, self.shut.get(link, NO_LAST))
        self.d.tell("goaway", link, last, code)

    @precondition(lambda self: self.links())
    @rule(n=N, how=st.sampled_from(["broken", "heard", "heard", "flood", "stick", "go on"]))
    def line(self, n, how):
        link = self.links()[n % len(self.links())]
        if how == "broken":
            self.d.tell("broken", link)
        elif how in ("heard", "flood"):
            self.d.tell("heard", link, self.d.now, 200 if how == "flood" else 3, timed=False)
        else:
            self.d.tell("set_blocked", link, how == "stick", timed=False)

    @invariant()
    def what_never_ran_did_not_run(self):
        for t in self.ran:
            assert t.outcome is not StreamOutcome.NOT_PROCESSED
        for t, outcome in self.withdrawn.items():
            assert t.outcome is outcome and t not in self.d.over

    @invariant()
    def what_can_not_run_any_more_is_not_left_in_doubt(self):
        for t, (outcome, why) in self.d.over.items():
            assert outcome is StreamOutcome.NOT_PROCESSED or t in self.ran or why != "goaway"

    @invariant()
    def nothing_is_lost_and_all_is_bounded(self):
        a = self.d.account
        a.check()
        waiting = [*a.calls, *a.requests]
        for t in self.tickets:
            assert (t.stage is StreamStage.OVER) == (t.outcome is not None)
            assert (t in waiting) == (t.stage is StreamStage.WAITING)
            if t.stage in (StreamStage.BEGUN, StreamStage.COMMITTED, StreamStage.SENT):
                assert t.connection in a.links and t.connection.tickets[t.stream] is t
        assert len(a.links) <= 2 * (a.limits.max_connections + 1)
        assert len(waiting) <= 2 * a.limits.max_waiting


Books.TestCase.settings = settings(
    max_examples=120, stateful_step_count=50, deadline=None, derandomize=True
)
test_the_books = Books.TestCase
