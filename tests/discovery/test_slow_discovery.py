"""A discovery that responds late: its list is used all the same."""

import time

from standins.servers import Discovery, Engine, eventually


class LateDiscovery(Discovery):
    """Sends its first response on each watch `delay` seconds after the request."""

    def __init__(self, delay):
        super().__init__()
        self.delay = delay

    def say(self, wire, whole, targets):
        if wire not in self.watches:
            time.sleep(self.delay)
        super().say(wire, whole, targets)


def test_the_list_of_a_discovery_that_responds_late_is_applied(site):
    """A change counts as delivered 6 s after discovery had it and could be reached."""
    readers = [Engine("p", "p-0"), Engine("p", "p-1")]
    running = site(*readers, Engine("d"), release=True)
    late = LateDiscovery(1.4).start()
    late.targets = {engine.uid: engine.target() for engine in running.engines}
    late.targets["p-0"] = readers[0].target("Terminating")
    try:
        running.reconfigure({**running.config, "discovery": late.address}, hup=True)
        eventually(lambda: late.froms)
        eventually(lambda: running.log().count(" discovery rev=") == 2, 6)
        assert [running.chat().status for _ in range(8)] == [200] * 8
        assert not readers[0].asked
    finally:
        late.close()
