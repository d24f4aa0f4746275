"""Whole answers, cancellation, platform outage and planned stops."""

import concurrent.futures
import unittest

import cluster
from cluster import Cluster, ClusterTest, TERMINATE

RANGES = ["0:4", "0:4", "4:8", "4:8", "8:12", "8:12"]
ENGINE = ["--step-us", 3000, "--token-us", 50, "--prefill-us", 10]


class AnswersTest(ClusterTest):

    def test_parallel_callers_get_their_own_whole_answers(self):
        with Cluster(RANGES, entries=2, engine_options=ENGINE) as system:
            streamed = [caller for entry in system.entries for caller in
                        self.start_callers(entry, 20, 40, entry.callers)]
            contents = [f"whole body {index}" for index in range(20)]
            with concurrent.futures.ThreadPoolExecutor(20) as pool:
                whole = list(pool.map(
                    lambda content: cluster.chat(system.entries[0].callers,
                                                 content, 40), contents))
            self.check_whole(streamed)
            expected = cluster.expected_answers(contents, 40)
            for answer, text in zip(whole, expected):
                self.assertIsNone(answer.error)
                self.assertEqual(answer.text, text)
                self.assertEqual(answer.finish_reason, "length")
            self.report("no fault", streamed)
            system.wait_memory_free()

    def test_an_answer_that_the_model_ends_says_stop(self):
        with Cluster(RANGES, engine_options=ENGINE) as system:
            answer = cluster.chat(system.entries[0].callers,
                                  "STOP-AFTER-7 please", 40)
            self.assertEqual(answer.finish_reason, "stop")
            self.assertEqual([answer.text], cluster.expected_answers(
                ["STOP-AFTER-7 please"], 7))
            system.wait_memory_free()

    def test_cancelled_streams_leave_no_memory_behind(self):
        with Cluster(RANGES, engine_options=ENGINE) as system:
            callers = self.start_callers(system.entries[0], 40, 1000, "cancel",
                                         leave_after=5)
            self.wait_received(callers, 5)
            for caller in callers:
                self.assertIsNone(caller.answer.error)
                self.assertIsNone(caller.answer.finish_reason)
            system.wait_memory_free()

    def test_callers_are_served_while_the_platform_is_down(self):
        with Cluster(RANGES, engine_options=ENGINE) as system:
            system.set_platform_faults(down=True)
            callers = self.start_callers(system.entries[0], 20, 60, "outage")
            self.wait_received(callers, 5)
            system.busiest("4:8").companion.kill()
            self.check_whole(callers)
            self.check_whole(
                self.start_callers(system.entries[0], 20, 20, "later"))
            self.report("stage killed in an outage of the platform", callers)

    def test_an_entry_that_stops_finishes_its_streams(self):
        with Cluster(RANGES, entries=2, engine_options=ENGINE) as system:
            leaving, staying = system.entries
            callers = self.start_callers(leaving, 20, 60, "stop")
            self.wait_received(callers, 5)
            leaving.process.signal(TERMINATE)
            cluster.wait_until(lambda: self.is_refusing(leaving), 2.0,
                               "the leaving entry refuses new requests")
            self.check_whole(callers)
            self.assertEqual(leaving.process.child.wait(10), 0)
            self.check_whole(self.start_callers(staying, 5, 10, "after"))

    @staticmethod
    def is_refusing(entry):
        try:
            answer = cluster.chat(entry.callers, "new work", 1)
        except OSError:
            return True
        return answer.status == 503

    def test_a_companion_that_stops_cuts_no_request(self):
        with Cluster(RANGES, engine_options=ENGINE) as system:
            callers = self.start_callers(system.entries[0], 20, 60, "drain")
            self.wait_received(callers, 5)
            leaving = system.busiest("4:8")
            leaving.companion.signal(TERMINATE)
            self.check_whole(callers)
            self.assertEqual(leaving.companion.child.wait(20), 0)
            self.check_whole(
                self.start_callers(system.entries[0], 10, 10, "after"))
            self.report("companion stops", callers)


if __name__ == "__main__":
    unittest.main(verbosity=2)
