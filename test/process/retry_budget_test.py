"""Streams that break off at a router while others have retries left."""

import json
import time
import unittest

from cluster import request
from platform_cluster import PlatformCluster, calm, expected_events, in_background

ROUTERS = 2
STREAMS = 24
# The target: the retries of all routers together. Each stream needs one, and
# the routers may use four fifths.
RETRY_SLACK = 30.0
RETRY_RATIO = 0.2
USABLE_SHARE = 0.8
WINDOW_S = 10.0
# The allowed gap of the route is 200 ms; a stream that cannot go on ends within this.
LONGEST_WAIT_S = 1.0


class RetryBudgetTest(unittest.TestCase):

    def break_off_at_one_router(self, slack):
        """All streams of one router break off once, while another has none. Returns
        the streams and what both routers' metrics say."""
        with PlatformCluster() as system:
            for index in range(4):
                system.add_engine(f"engine-{index}")
            for index in range(ROUTERS):
                system.add_router(f"router-{index}", retry_slack=slack)
            for router in system.routers:
                system.wait_served(router)
            # The slack becomes available over a window.
            time.sleep(WINDOW_S + 1)
            for name in system.engines:
                system.fault(name, "stumble")
            tasks = [in_background(system.stream, system.routers[0], f"stream-{number}")
                     for number in range(STREAMS)]
            streams = [task.result() for task in tasks]
            metrics = [request(router.control, "GET", "/metrics")[2]
                       for router in system.routers]
            for router in system.routers:
                router.kill()
            return streams, metrics

    def test_streams_of_one_router_may_use_the_retries_that_others_leave(self):
        self.assertGreaterEqual((RETRY_SLACK + RETRY_RATIO * STREAMS) * USABLE_SHARE, STREAMS)
        streams, metrics = self.break_off_at_one_router(RETRY_SLACK)
        whole = sum(stream.text == expected_events() for stream in streams)
        self.assertEqual(whole, STREAMS)
        self.assertRegex(metrics[0], r'retries_borrowed_total{service="model"} [1-9]')
        self.assertRegex(metrics[1], r'retries_lent_total{service="model"} [1-9]')

    def test_streams_end_soon_when_no_router_has_retries_left(self):
        streams, _ = self.break_off_at_one_router(0.0)
        broken = [stream for stream in streams if not stream.is_whole]
        # Each router has a fifth of its own streams, of which it uses four fifths.
        self.assertGreaterEqual(len(broken), STREAMS * (1 - RETRY_RATIO))
        for stream in broken:
            self.assertLess(stream.ended_at - stream.times[-1], LONGEST_WAIT_S)

    def test_requests_for_retries_that_no_router_makes_are_refused(self):
        with calm() as system:
            router = system.routers[0]
            for body in ("no json", "[]", "{}", '{"service": 1, "wanted": 2}',
                         '{"service": "model", "wanted": -1}',
                         '{"service": "model", "wanted": "x"}'):
                status, _, text = request(router.control, "POST", "/retries", body)
                self.assertEqual(status, 400, body)
                self.assertTrue(text)
            status, _, text = request(router.control, "POST", "/retries",
                                      '{"service": "unknown", "wanted": 2}')
            self.assertEqual((status, json.loads(text)["lent"]), (200, 0))
            self.assertEqual(system.look(router, "look-1").status, 200)


if __name__ == "__main__":
    unittest.main()
