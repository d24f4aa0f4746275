"""Kills, pauses and silence in the middle of streamed answers."""

import unittest

import cluster
from cluster import CONTINUE, STOP, Cluster, ClusterTest

RANGES = ["0:4", "0:4", "4:8", "4:8", "8:12", "8:12"]
ENGINE = ["--step-us", 3000, "--token-us", 50, "--prefill-us", 10]
STREAMS = 20
TOKENS = 80


class FaultsTest(ClusterTest):

    def run_with_fault(self, what, fault, **options):
        """Streams through a fault, checks every answer and the memory."""
        with Cluster(RANGES, engine_options=ENGINE, **options) as system:
            callers = self.start_callers(system.entries[0], STREAMS, TOKENS,
                                         what)
            self.wait_received(callers, 10)
            victim = system.busiest("4:8")
            self.assertGreater(victim.counts()["streams"], 0)
            fault(system, victim)
            self.check_whole(callers)
            self.report(what, callers)
            self.check_whole(
                self.start_callers(system.entries[0], 5, 10, "later"))

    def test_kill_of_a_middle_companion(self):
        self.run_with_fault("companion killed",
                            lambda system, victim: victim.companion.kill())

    def test_kill_of_a_middle_engine(self):
        self.run_with_fault("engine killed",
                            lambda system, victim: victim.engine.kill())

    def test_kill_of_a_first_and_a_last_companion_at_once(self):
        def kill_two(system, _):
            system.busiest("0:4").companion.kill()
            system.busiest("8:12").companion.kill()
        self.run_with_fault("two companions killed", kill_two)

    def test_pause_of_a_middle_companion(self):
        self.run_with_fault(
            "companion paused",
            lambda system, victim: victim.companion.signal(STOP))

    def test_a_companion_that_wakes_disturbs_nobody(self):
        with Cluster(RANGES, engine_options=ENGINE) as system:
            callers = self.start_callers(system.entries[0], STREAMS, TOKENS,
                                         "pause")
            self.wait_received(callers, 10)
            victim = system.busiest("4:8")
            victim.companion.signal(STOP)
            self.check_whole(callers)
            later = self.start_callers(system.entries[0], STREAMS, TOKENS,
                                       "wake")
            self.wait_received(later, 10)
            victim.companion.signal(CONTINUE)
            self.check_whole(later)
            system.wait_memory_free(20.0)

    def test_silence_between_a_companion_and_its_engine(self):
        self.run_with_fault(
            "engine connection silent",
            lambda system, victim: victim.engine_relay.command("silence"),
            with_engine_relays=True)

    def test_engines_lost_to_a_crashing_request(self):
        ranges = ["0:4"] * 4 + ["4:8", "8:12"]
        with Cluster(ranges, entries=2, engine_options=ENGINE) as system:
            innocent = self.start_callers(system.entries[0], STREAMS, TOKENS,
                                          "innocent")
            self.wait_received(innocent, 10)
            for entry in system.entries * 2:
                answer = cluster.chat(entry.callers, "CRASH-ENGINE", 5)
                self.assertNotEqual(answer.status, 200)
            self.check_whole(innocent)
            lost = [endpoint.name for endpoint in system.endpoints
                    if not endpoint.engine.is_running()]
            self.assertLessEqual(len(lost), 2)
            self.report(f"crashing request, {len(lost)} engines lost", innocent)


if __name__ == "__main__":
    unittest.main(verbosity=2)
