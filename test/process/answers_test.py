"""Whole answers, cancellation, an outage of the platform and planned stops."""

import concurrent.futures
import signal
import unittest

import cluster
from fixture import LAYERS, ModelCluster, ProcessTest, chat

RANGES = [(0, 4), (0, 4), (4, 8), (4, 8), (8, 12), (8, 12)]


class AnswersTest(ProcessTest):

    def test_parallel_callers_get_their_own_whole_answers(self):
        with ModelCluster(RANGES, entries=2) as system:
            streamed = [caller for name, entry in system.entries.items()
                        for caller in self.start_callers(entry, 20, 40, name)]
            contents = [f"whole body {index}" for index in range(20)]
            with concurrent.futures.ThreadPoolExecutor(20) as pool:
                bodies = list(pool.map(
                    lambda content: chat(system.entry, content, 40), contents))
            self.check_whole(streamed)
            for content, (status, body) in zip(contents, bodies):
                self.assertEqual(status, 200, body)
                choice = body["choices"][0]
                self.assertEqual(choice["message"]["content"],
                                 cluster.expected_answer(content, LAYERS, 40))
                self.assertEqual(choice["finish_reason"], "length")
            self.report("no fault", streamed)
            system.wait_memory_free()

    def test_an_answer_that_the_model_ends_says_stop(self):
        with ModelCluster(RANGES) as system:
            content = "STOP-AFTER-7 please"
            status, body = chat(system.entry, content, 40)
            self.assertEqual(status, 200, body)
            choice = body["choices"][0]
            self.assertEqual(choice["finish_reason"], "stop")
            self.assertEqual(choice["message"]["content"],
                             cluster.expected_answer(content, LAYERS, 7))
            system.wait_memory_free()

    def test_cancelled_streams_leave_no_memory_behind(self):
        with ModelCluster(RANGES) as system:
            callers = self.start_callers(system.entry, 40, 1000, "cancel",
                                         leave_after=5)
            self.join(callers)
            for caller in callers:
                self.assertTrue(caller.has_left, caller.failure)
            system.wait_memory_free()

    def test_callers_are_served_while_the_platform_is_down(self):
        with ModelCluster(RANGES) as system:
            system.set_platform_faults(down=True)
            callers = self.start_callers(system.entry, 20, 60, "outage")
            self.wait_received(callers, 5)
            system.busiest((4, 8)).companion.kill()
            self.check_whole(callers)
            self.check_whole(self.start_callers(system.entry, 20, 20, "later"))
            self.report("stage killed in an outage of the platform", callers)

    def test_an_entry_that_stops_finishes_its_streams(self):
        with ModelCluster(RANGES, entries=2) as system:
            leaving = system.entries["entry0"]
            callers = self.start_callers(leaving, 20, 60, "stop")
            self.wait_received(callers, 5)
            leaving.send(signal.SIGTERM)
            cluster.wait_until(lambda: self.is_refusing(leaving),
                               "the leaving entry refuses new requests", 2)
            self.check_whole(callers)
            self.assertEqual(leaving.child.wait(10), 0)
            self.check_whole(
                self.start_callers(system.entries["entry1"], 5, 10, "after"))

    @staticmethod
    def is_refusing(entry):
        try:
            return chat(entry, "new work", 1)[0] == 503
        except OSError:
            return True

    def test_a_companion_that_stops_cuts_no_request(self):
        with ModelCluster(RANGES) as system:
            callers = self.start_callers(system.entry, 20, 60, "drain")
            self.wait_received(callers, 5)
            leaving = system.busiest((4, 8)).companion
            leaving.send(signal.SIGTERM)
            self.check_whole(callers)
            self.assertEqual(leaving.child.wait(20), 0)
            self.check_whole(self.start_callers(system.entry, 10, 10, "after"))
            self.report("companion stops", callers)


if __name__ == "__main__":
    unittest.main(verbosity=2)
