"""Streams that a stopping router takes late, whose sound engines fall silent for a second or
get busier."""

import contextlib
import signal
import time
import unittest

from caller_view import Trace, find_broken
from cluster import wait_until
from kept_connection import ask
from platform_cluster import (DESK, EVENTS, HOST, Caller, calm, expected_events,
                              in_background)

STEP_MS = 3.0
SILENCE_S = 1.0
# After the signal; the stop has eight seconds.
SENT_S = (5.0, 5.4, 5.8, 6.0, 6.2)
DEADLINE = {"Auburnlb-Deadline-Ms": "20000"}
SLOW_ROUTE = {"name": "slow", "host": HOST, "path-prefix": "/slow/", "kind": "safe",
              "timeout-ms": 20_000, "latency-target-ms": 100, "priority": 2, "service": DESK,
              "max-attempts": 1, "public": False}
# By this profile an event takes about 20 ms at an idle engine, 130 ms with a full batch.
IDLE_STEP_MS, STEP_MS_PER_REQUEST = 3.0, 2.0
# Events of the stand-in, usually 20 ms apart, come so much more slowly; within the profile.
BUSY_FACTOR = 5
BUSY_FROM_S, BUSY_SENT_S = 4.4, (4.5, 4.6, 4.7, 4.8)
SHORT_EVENTS, SHORT_SENT_S = 4, 4.9
SHORT = {**DEADLINE, "Auburnlb-Token-Counts": f"100,{SHORT_EVENTS}"}


class SilenceInAStopTest(unittest.TestCase):

    def engines(self, system):
        return [(name, engine) for name, engine in system.engines.items()
                if name.startswith("engine")]

    def stream_at(self, router, at_s, began, fields=None):
        wait_until(lambda: time.monotonic() >= began + at_s, "time passes")
        return ask(router, f"late-{at_s}", "/stream/x", fields or DEADLINE)

    @contextlib.contextmanager
    def long_stop(self, **configuration):
        """A router in a stop that a call holds up to its end; gives when it began."""
        with calm() as system:
            system.configure(routes=[SLOW_ROUTE], **configuration)
            router = system.routers[0]
            wait_until(lambda: Caller(router, "GET", "/slow/x", "probe").status == 200,
                       "the route is known")
            self.assertEqual(ask(router, "before", "/stream/x").status, 200)
            for name in system.engines:
                if name.startswith("desk"):
                    system.fault(name, "after 12000")
            held = in_background(Caller, router, "GET", "/slow/x", "held", DEADLINE)
            wait_until(lambda: system.runs()["runs"].get("held"), "the call runs")
            router.send(signal.SIGTERM)
            yield system, time.monotonic()
            held.result()

    def assert_kept(self, system, records):
        trace = Trace(system.recorded_runs(), system.lives(), refusals=(503,),
                      failure_times=[])
        self.assertEqual(find_broken(records, trace), [])
        self.assertTrue(any(record.status == 200 for record in records))

    def test_stop_cuts_no_late_stream_whose_engine_is_silent_for_a_second(self):
        with self.long_stop(step_ms=STEP_MS) as (system, began):
            router = system.routers[0]
            streams = [in_background(self.stream_at, router, at_s, began)
                       for at_s in SENT_S]
            # In the middle of the last stream.
            wait_until(lambda: time.monotonic() >= began + SENT_S[-1] + EVENTS * STEP_MS / 1000,
                       "time passes")
            for _, engine in self.engines(system):
                engine.send(signal.SIGSTOP)
            time.sleep(SILENCE_S)
            for _, engine in self.engines(system):
                engine.send(signal.SIGCONT)
            self.assert_kept(system, [each.result() for each in streams])

    # Guards against late streams that are cut since the estimate assumed idle engines.
    def test_stop_cuts_no_late_stream_whose_engines_get_busier(self):
        with self.long_stop(step_ms=IDLE_STEP_MS,
                            per_seq_ms=STEP_MS_PER_REQUEST) as (system, began):
            router = system.routers[0]
            wait_until(lambda: time.monotonic() >= began + BUSY_FROM_S, "time passes")
            for name, _ in self.engines(system):
                system.fault(name, f"slow {BUSY_FACTOR}")
            streams = [in_background(self.stream_at, router, at_s, began)
                       for at_s in BUSY_SENT_S]
            short = self.stream_at(router, SHORT_SENT_S, began, SHORT)
            short.expected = expected_events(last=SHORT_EVENTS).encode()
            self.assert_kept(system, [each.result() for each in streams] + [short])


if __name__ == "__main__":
    unittest.main(verbosity=2)
