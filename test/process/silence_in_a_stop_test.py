"""Streams that a stopping router takes late, whose sound engines fall silent for a second."""

import signal
import time
import unittest

from cluster import wait_until
from platform_cluster import DESK, EVENTS, HOST, Caller, calm, expected_events, in_background

STEP_MS = 3.0
SILENCE_S = 1.0
# After the signal; the stop has eight seconds.
SENT_S = (5.0, 5.4, 5.8, 6.0, 6.2)
DEADLINE = {"Auburnlb-Deadline-Ms": "20000"}
SLOW_ROUTE = {"name": "slow", "host": HOST, "path-prefix": "/slow/", "kind": "safe",
              "timeout-ms": 20_000, "latency-target-ms": 100, "priority": 2, "service": DESK,
              "max-attempts": 1, "public": False}


class SilenceInAStopTest(unittest.TestCase):

    def engines(self, system):
        return [engine for name, engine in system.engines.items() if name.startswith("engine")]

    def stream_at(self, router, system, at_s, began):
        wait_until(lambda: time.monotonic() >= began + at_s, "time passes")
        return system.stream(router, f"late-{at_s}", DEADLINE)

    def test_stop_cuts_no_late_stream_whose_engine_is_silent_for_a_second(self):
        with calm() as system:
            system.configure(step_ms=STEP_MS, routes=[SLOW_ROUTE])
            router = system.routers[0]
            wait_until(lambda: Caller(router, "GET", "/slow/x", "probe").status == 200,
                       "the route is known")
            self.assertEqual(system.stream(router, "before").text, expected_events())
            # Holds the process up to the end of its stop.
            for name in system.engines:
                if name.startswith("desk"):
                    system.fault(name, "after 12000")
            held = in_background(Caller, router, "GET", "/slow/x", "held", DEADLINE)
            wait_until(lambda: system.runs()["runs"].get("held"), "the call runs")
            router.send(signal.SIGTERM)
            began = time.monotonic()
            streams = [in_background(self.stream_at, router, system, at_s, began)
                       for at_s in SENT_S]
            # In the middle of the last stream.
            wait_until(lambda: time.monotonic() >= began + SENT_S[-1] + EVENTS * STEP_MS / 1000,
                       "time passes")
            for engine in self.engines(system):
                engine.send(signal.SIGSTOP)
            time.sleep(SILENCE_S)
            for engine in self.engines(system):
                engine.send(signal.SIGCONT)
            runs = system.runs()["runs"]
            for each in streams:
                answer = each.result()
                what = (answer.request_id, answer.status, len(answer.text))
                self.assertTrue(answer.is_whole, what)
                if answer.status == 503:
                    self.assertNotIn(answer.request_id, runs, what)
                    continue
                self.assertEqual((answer.status, answer.text), (200, expected_events()), what)
            self.assertTrue(any(each.result().status == 200 for each in streams))
            held.result()


if __name__ == "__main__":
    unittest.main(verbosity=2)
