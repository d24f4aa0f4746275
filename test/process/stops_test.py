"""Planned stops that are repeated, or overtaken by a kill, and what reaches an
endpoint that leaves."""

import signal
import time
import unittest

import cluster
from fixture import ModelCluster, ProcessTest

RANGES = [(0, 4), (0, 4), (4, 8), (4, 8), (8, 12), (8, 12)]
STREAMS = 20
TOKENS = 80


class StopsTest(ProcessTest):

    def run_with(self, act, **options):
        with ModelCluster(RANGES, **options) as system:
            callers = self.start_callers(system.entry, STREAMS, TOKENS, "stop")
            self.wait_received(callers, 5)
            act(system)
            self.check_whole(callers)
            self.report(self.id().rpartition(".")[2], callers)

    def test_a_stop_during_a_stop_of_a_companion(self):
        def stop_twice(system):
            leaving = system.busiest((4, 8)).companion
            leaving.send(signal.SIGTERM)
            leaving.send(signal.SIGTERM)
            leaving.send(signal.SIGINT)
            self.assertEqual(leaving.child.wait(20), 0)
        self.run_with(stop_twice)

    def test_a_kill_during_a_stop_of_a_companion(self):
        def stop_and_kill(system):
            leaving = system.busiest((4, 8)).companion
            leaving.send(signal.SIGTERM)
            cluster.wait_until(lambda: "E0101" in leaving.log(),
                               "the companion leaves")
            leaving.kill()
        self.run_with(stop_and_kill)

    def test_a_stop_during_a_stop_of_an_entry(self):
        def stop_twice(system):
            system.entry.send(signal.SIGTERM)
            system.entry.send(signal.SIGTERM)
        self.run_with(stop_twice)

    def test_two_companions_of_a_chain_stop_at_once(self):
        def stop_two(system):
            for layers in ((0, 4), (8, 12)):
                system.busiest(layers).companion.send(signal.SIGTERM)
        self.run_with(stop_two)

    def test_a_leaving_endpoint_receives_no_new_work(self):
        with ModelCluster(RANGES) as system:
            running = self.start_callers(system.entry, STREAMS, TOKENS, "old")
            self.wait_received(running, 5)
            leaving = system.busiest((4, 8))
            leaving.companion.send(signal.SIGTERM)
            cluster.wait_until(lambda: "E0101" in leaving.companion.log(),
                               "the companion leaves")
            # The promise allows seconds; the refusal works from here on.
            most = leaving.counts()["streams"]
            later = self.start_callers(system.entry, STREAMS, 20, "new")
            while any(caller.is_alive() for caller in later):
                self.assertLessEqual(leaving.counts()["streams"], most)
                time.sleep(0.02)
            self.check_whole(later)
            self.check_whole(running)


if __name__ == "__main__":
    unittest.main(verbosity=2)
