"""A request that expires during a long iteration of the event loop is rejected by the router,
not failed by the manager's deadline guard."""

import pytest

from claycross import interface as i
from tests.fleet.test_fleet import gateway
from tests.routing.router_harness import MS, SECOND


class RecordingReply:
    """The reply to one request, which records how the request was answered."""

    def __init__(self):
        self.answers = []

    def reject(self, retry_after):
        self.answers.append("refused")

    def fail(self):
        self.answers.append("failed")

    def client_disconnected(self):
        return False


@pytest.mark.parametrize("time_left", [0, 10 * MS, 2 * SECOND])
@pytest.mark.parametrize("stall", [25 * MS, 3 * SECOND])
def test_request_that_expires_in_a_long_iteration_is_rejected(time_left, stall):
    """Seen in the soak test with seed 1, in a gateway that was stopped for 1.9 s: the iteration
    that accepted the request took longer than the guard, which was due before the router had set
    its own timer."""
    manager, clock, _ = gateway()
    reply = RecordingReply()
    request = manager.accept(
        i.RequestArrived(0, "once", time_left, prompt_tokens=1000, max_output_tokens=100),
        "k1",
        None,
        reply,
    )
    # The iteration goes on; all timers that are due then run before the router's next call.
    clock.at += time_left + stall
    manager.deadline_passed(request)
    manager.process_events()
    assert reply.answers == ["refused"] and request.finished
