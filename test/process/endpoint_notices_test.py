"""Endpoints that ask for a backoff, or say that they leave, in their responses."""

import json
import time
import unittest

from cluster import request
from platform_cluster import calm, in_background

# The target: from this time after a refusal until the end of the backoff that
# it asks for, this many requests of one router reach the endpoint.
SETTLE_S = 0.5
TOLERATED = 2
# The target: an endpoint that leaves gets nothing from this time on.
DRAIN_S = 2.0
BACKOFF_S = 6.0
WATCHED_S = 8.0
PER_S = 25


class EndpointNoticesTest(unittest.TestCase):

    def counts(self, system, name):
        text = request(system.engines[name].port, "GET", "/fake/runs")[2]
        counts = json.loads(text)
        return ([at / 1000 for at in counts["arrivals_ms"]],
                [at / 1000 for at in counts["refusals_ms"]])

    def tell(self, system, name, what, value=""):
        status, _, _ = request(system.engines[name].port, "POST", f"/fake/{what}", value)
        self.assertEqual(status, 200)

    def press(self, send, router, seconds):
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(in_background(send, router, f"press-{len(tasks)}"))
            time.sleep(1 / PER_S)
        return [task.result() for task in tasks]

    def first_engine(self, system):
        """The engine that streams are sent to."""
        for number in range(8):
            system.stream(system.routers[0], f"find-{number}")
        return max((name for name in system.engines if name.startswith("engine")),
                   key=lambda name: len(self.counts(system, name)[0]))

    def check_backoff(self, send_name, find):
        with calm() as system:
            name = find(system)
            self.tell(system, name, "backoff", str(BACKOFF_S))
            self.tell(system, name, "fault", "shed")
            answers = self.press(getattr(system, send_name), system.routers[0], WATCHED_S)
            arrivals, refusals = self.counts(system, name)
            self.assertTrue(refusals)
            for refused in refusals:
                within = [at for at in arrivals
                          if refused + SETTLE_S <= at < refused + BACKOFF_S]
                self.assertLessEqual(len(within), TOLERATED)
            self.assertTrue(all(answer.status == 200 for answer in answers))

    def test_model_endpoint_gets_nothing_during_its_backoff(self):
        self.check_backoff("stream", self.first_engine)

    def test_plain_endpoint_gets_nothing_during_its_backoff(self):
        self.check_backoff("look", lambda system: "desk-0")

    def test_caller_is_told_at_once_during_the_backoff_of_all_endpoints(self):
        with calm() as system:
            for name in ("desk-0", "desk-1"):
                self.tell(system, name, "backoff", str(BACKOFF_S))
                self.tell(system, name, "fault", "shed")
            router = system.routers[0]
            system.look(router, "first")
            began = time.monotonic()
            answer = system.look(router, "second")
            self.assertEqual(answer.status, 503)
            self.assertLess(time.monotonic() - began, 0.3)
            left = float(answer.headers["retry-after"])
            self.assertGreater(left, BACKOFF_S - 1)
            self.assertLessEqual(left, BACKOFF_S)

    def check_leaving(self, send_name, find):
        with calm() as system:
            name = find(system)
            self.tell(system, name, "leave")
            send = getattr(system, send_name)
            told, _ = self.counts(system, name)
            self.press(send, system.routers[0], DRAIN_S)
            before, _ = self.counts(system, name)
            self.assertGreater(len(before), len(told), "the router has passed on a response")
            answers = self.press(send, system.routers[0], DRAIN_S)
            after, _ = self.counts(system, name)
            self.assertEqual(len(after), len(before))
            self.assertTrue(all(answer.status == 200 for answer in answers))

    def test_model_endpoint_that_says_it_leaves_gets_nothing(self):
        self.check_leaving("stream", self.first_engine)

    def test_plain_endpoint_that_says_it_leaves_gets_nothing(self):
        self.check_leaving("look", lambda system: "desk-0")


if __name__ == "__main__":
    unittest.main()
