"""Streams that break off at a router while others have retries left."""

import time
import unittest

from platform_cluster import PlatformCluster, expected_events, in_background

ROUTERS = 2
STREAMS = 24
# The target: the retries of all routers together. Each stream needs one, and
# the routers may use four fifths.
RETRY_SLACK = 30.0
RETRY_RATIO = 0.2
USABLE_SHARE = 0.8
WINDOW_S = 10.0


class RetryBudgetTest(unittest.TestCase):

    def test_streams_of_one_router_may_use_the_retries_that_others_leave(self):
        self.assertGreaterEqual((RETRY_SLACK + RETRY_RATIO * STREAMS) * USABLE_SHARE, STREAMS)
        with PlatformCluster() as system:
            for index in range(4):
                system.add_engine(f"engine-{index}")
            for index in range(ROUTERS):
                system.add_router(f"router-{index}", retry_slack=RETRY_SLACK)
            for router in system.routers:
                system.wait_served(router)
            # The slack becomes available over a window.
            time.sleep(WINDOW_S + 1)
            for name in system.engines:
                system.fault(name, "stumble")
            tasks = [in_background(system.stream, system.routers[0], f"stream-{number}")
                     for number in range(STREAMS)]
            whole = sum(task.result().text == expected_events() for task in tasks)
            for router in system.routers:
                router.kill()
            self.assertEqual(whole, STREAMS)


if __name__ == "__main__":
    unittest.main()
