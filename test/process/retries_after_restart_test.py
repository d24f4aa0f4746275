"""Retries of a router's processes that are killed and start again count
together."""

import time
import unittest

from platform_cluster import PlatformCluster, expected_events, in_background

STREAMS = 24
RETRY_SLACK = 30.0
RETRY_RATIO = 0.2
WINDOW_S = 10.0
# From the first retries to the last ones; both are in one window.
SPAN_S = 8.0


class RetriesAfterRestartTest(unittest.TestCase):

    def start(self, system):
        """One router with all of its slack."""
        for index in range(4):
            system.add_engine(f"engine-{index}")
        system.add_router("router", retry_slack=RETRY_SLACK)
        system.wait_served(system.routers[0])
        time.sleep(WINDOW_S + 1)

    def restart(self, system):
        router = system.routers[0]
        router.kill()
        system.wait_served(system.restart_router(router))

    def break_streams(self, system, name):
        """Streams each of which breaks off once; gives how many are whole."""
        for engine in system.engines:
            system.fault(engine, "stumble")
        tasks = [in_background(system.stream, system.routers[0], f"{name}-{number}")
                 for number in range(STREAMS)]
        return sum(task.result().text == expected_events() for task in tasks)

    def retries(self, system):
        counts = system.runs()["runs"]
        return sum(count - 1 for name, count in counts.items() if not name.startswith("probe"))

    def test_killed_router_and_the_next_one_stay_within_the_budget_of_a_window(self):
        with PlatformCluster() as system:
            self.start(system)
            began = time.monotonic()
            self.assertEqual(self.break_streams(system, "before"), STREAMS)
            self.restart(system)
            time.sleep(max(0, began + SPAN_S - time.monotonic()))
            self.break_streams(system, "after")
            self.assertLess(time.monotonic() - began, WINDOW_S)
            self.assertLessEqual(self.retries(system),
                                 RETRY_SLACK + RETRY_RATIO * 2 * STREAMS)

    def test_router_that_is_killed_without_retries_leaves_them_to_the_next_one(self):
        with PlatformCluster() as system:
            self.start(system)
            self.restart(system)
            time.sleep(SPAN_S)
            # The slack becomes available over a window.
            usable = 0.8 * (SPAN_S / WINDOW_S * RETRY_SLACK + RETRY_RATIO * STREAMS)
            self.assertGreaterEqual(self.break_streams(system, "after"), int(usable) - 2)


if __name__ == "__main__":
    unittest.main()
