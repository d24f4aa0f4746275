"""Engines that leave, or whose entries lapse, when calls to the store fail."""

import json
import threading
import time
import unittest

from cluster import request, wait_until
from platform_cluster import calm, in_background

# The target: an endpoint that leaves gets nothing from this time on.
DRAIN_S = 2.0
WATCHED_S = 1.0
# The store drops an entry after three heartbeats of silence, and an engine writes it
# again within about two seconds of the store's return.
OUTAGE_S, WRITTEN_AGAIN_S = 4.0, 1.0


class StoreContactTest(unittest.TestCase):

    def arrivals(self, system, engine):
        text = request(system.engines[engine].port, "GET", "/fake/runs")[2]
        return len(json.loads(text)["arrivals_ms"])

    def keep_asking(self, system, is_over):
        number = 0
        while not is_over.is_set():
            number += 1
            system.look(system.routers[0], f"look-{number}")
            time.sleep(0.005)

    def remove(self, system, name):
        status = request(system.store.port, "DELETE", f"/objects/servers/{name}?operator=1")[0]
        self.assertEqual(status, 200)

    def test_engine_that_leaves_after_a_failed_call_gets_nothing_after_the_drain_time(self):
        with calm() as system:
            is_over = threading.Event()
            asking = in_background(self.keep_asking, system, is_over)
            # The watches of a calm store wait, and are then cut off.
            time.sleep(3)
            request(system.store.port, "POST", "/fake/cut", "")
            time.sleep(1)
            self.remove(system, "desk-0")
            time.sleep(DRAIN_S)
            before = self.arrivals(system, "desk-0")
            time.sleep(WATCHED_S)
            late = self.arrivals(system, "desk-0") - before
            is_over.set()
            asking.result()
            self.assertGreater(before, 0)
            self.assertEqual(late, 0)

    def test_engine_whose_entry_lapsed_in_an_outage_is_kept(self):
        with calm() as system:
            router = system.routers[0]
            system.store_mode("reset")
            wait_until(lambda: '"E0202"' in router.log(), "the outage is noticed")
            time.sleep(OUTAGE_S)
            self.remove(system, "desk-0")
            before = self.arrivals(system, "desk-0")
            system.store_mode("up")
            end = time.monotonic() + WRITTEN_AGAIN_S
            while time.monotonic() < end:
                self.assertEqual(system.look(router, f"look-{time.monotonic()}").status, 200)
            request(system.engines["desk-0"].port, "POST", "/fake/register", "")
            time.sleep(DRAIN_S)
            self.assertGreater(self.arrivals(system, "desk-0"), before)
            self.assertNotIn('"E0302"', router.log())


if __name__ == "__main__":
    unittest.main()
