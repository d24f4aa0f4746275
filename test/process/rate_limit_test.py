"""Endpoints that name the rate of requests that they take."""

import json
import time
import unittest

from cluster import request
from platform_cluster import calm, in_background

# The target: from this time on, this multiple of what the limit allows in the
# window, and this many requests more.
SETTLE_S = 3.0
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_MORE = 5
WATCHED_S = 12.0


def most_in_window(times, first):
    """The most arrivals in a window that begins at or after a moment."""
    late = [at for at in times if at >= first]
    return max((sum(begin <= at < begin + WINDOW_S for at in late) for begin in late), default=0)


class RateLimitTest(unittest.TestCase):

    def arrivals(self, system, name):
        port = system.engines[name].port
        return [at / 1000 for at in json.loads(request(port, "GET", "/fake/runs")[2])["arrivals_ms"]]

    def set_limit(self, system, names, rate):
        for name in names:
            request(system.engines[name].port, "POST", "/fake/limit", rate)

    def press(self, system, send, per_s):
        """Sends at a rate to the routers in turn; gives the answers and when it began."""
        tasks = []
        began = time.clock_gettime(time.CLOCK_BOOTTIME)
        while time.clock_gettime(time.CLOCK_BOOTTIME) < began + WATCHED_S:
            router = system.routers[len(tasks) % len(system.routers)]
            tasks.append(in_background(send, router, f"press-{len(tasks)}"))
            time.sleep(1 / per_s)
        for task in tasks:
            task.join()
        return [task.value for task in tasks], began

    def check(self, send_name, names, rate, per_s):
        with calm(routers=2) as system:
            self.set_limit(system, names, str(rate))
            answers, began = self.press(system, getattr(system, send_name), per_s)
            allowed = rate * WINDOW_S * TOLERATED_FACTOR + TOLERATED_MORE
            for name in names:
                times = self.arrivals(system, name)
                self.assertLessEqual(most_in_window(times, began + SETTLE_S), allowed, name)
            served = sum(answer.status == 200 for answer in answers)
            self.assertGreaterEqual(served, rate * WATCHED_S / 2)
            for answer in answers:
                self.assertIn(answer.status, (200, 503))
            self.set_limit(system, names, "")

    def test_model_endpoints_get_no_more_than_their_limits(self):
        names = [f"engine-{zone}-{index}" for zone in ("dc1", "dc2") for index in range(2)]
        self.check("stream", names, 2.5, 20)

    def test_plain_endpoints_get_no_more_than_their_limits(self):
        self.check("look", ["desk-0", "desk-1"], 3, 25)


if __name__ == "__main__":
    unittest.main()
