"""Kills, pauses and silence in the middle of streamed answers."""

import signal
import time
import unittest

import cluster
from fixture import LAYERS, ModelCluster, ProcessTest, chat, relay_command

RANGES = [(0, 4), (0, 4), (4, 8), (4, 8), (8, 12), (8, 12)]
STREAMS = 20
TOKENS = 80


class FaultsTest(ProcessTest):

    def run_with_fault(self, what, fault, **options):
        """Streams through a fault, then checks these answers and later ones."""
        with ModelCluster(RANGES, **options) as system:
            callers = self.start_callers(system.entry, STREAMS, TOKENS, what)
            self.wait_received(callers, 10)
            victim = system.busiest((4, 8))
            self.assertGreater(victim.counts()["streams"], 0)
            fault(system, victim)
            self.check_whole(callers)
            self.report(what, callers)
            self.check_whole(self.start_callers(system.entry, 5, 10, "later"))

    def test_kill_of_a_middle_companion(self):
        self.run_with_fault("companion killed",
                            lambda system, victim: victim.companion.kill())

    def test_kill_of_a_middle_engine(self):
        self.run_with_fault("engine killed",
                            lambda system, victim: victim.engine.kill())

    def test_kill_of_a_first_and_a_last_companion_at_once(self):
        def kill_two(system, _):
            first, last = system.busiest((0, 4)), system.busiest((8, 12))
            first.companion.kill()
            last.companion.kill()
        self.run_with_fault("two companions killed", kill_two)

    def test_pause_of_a_middle_companion(self):
        self.run_with_fault(
            "companion paused",
            lambda system, victim: victim.companion.send(signal.SIGSTOP))

    def test_a_companion_that_wakes_disturbs_nobody(self):
        with ModelCluster(RANGES) as system:
            callers = self.start_callers(system.entry, STREAMS, TOKENS, "pause")
            self.wait_received(callers, 10)
            victim = system.busiest((4, 8))
            victim.companion.send(signal.SIGSTOP)
            self.check_whole(callers)
            later = self.start_callers(system.entry, STREAMS, TOKENS, "wake")
            self.wait_received(later, 10)
            victim.companion.send(signal.SIGCONT)
            self.check_whole(later)
            system.wait_memory_free()

    def test_an_engine_that_wakes_keeps_no_memory_of_idle_streams(self):
        """The streams wait at the last stage while a middle engine is lost."""
        with ModelCluster(RANGES) as system:
            callers = self.start_callers(system.entry, STREAMS, TOKENS, "pause")
            self.wait_received(callers, 10)
            victim = system.busiest((4, 8))
            paused = [each for each in system.endpoints if each.layers == (8, 12)]
            for endpoint in paused:
                endpoint.engine.send(signal.SIGSTOP)
            time.sleep(0.2)
            victim.engine.send(signal.SIGSTOP)
            cluster.wait_until(lambda: "E0500" in victim.companion.log(),
                               "the engine is lost")
            for endpoint in [victim] + paused:
                endpoint.engine.send(signal.SIGCONT)
            for caller in callers:
                caller.join()
            self.check_whole(self.start_callers(system.entry, STREAMS, TOKENS, "wake"))
            system.wait_memory_free()

    def test_streams_wait_for_room_at_engines_that_are_full(self):
        """The engines hold the memory of about half of the streams."""
        with ModelCluster([(0, LAYERS)] * 2, engine_options=["--kv-tokens", "1000"]) as system:
            self.check_whole(self.start_callers(system.entry, 2 * STREAMS, 120, "full"))
            system.wait_memory_free()

    def test_silence_between_a_companion_and_its_engine(self):
        self.run_with_fault(
            "engine connection silent",
            lambda system, victim: relay_command(victim.engine_relay,
                                                 "silence"),
            with_engine_relays=True)

    def test_silence_on_a_middle_stage_s_open_connections(self):
        self.run_with_fault(
            "stage connections silent",
            lambda system, victim: relay_command(victim.stage_relay,
                                                 "silence"),
            with_stage_relays=True)

    def test_isolation_of_a_middle_stage(self):
        self.run_with_fault(
            "stage isolated",
            lambda system, victim: relay_command(victim.stage_relay,
                                                 "isolate"),
            with_stage_relays=True)

    def test_a_crashing_request_takes_two_engines_at_most(self):
        ranges = [(0, 4), (0, 4)] + RANGES
        with ModelCluster(ranges, entries=2) as system:
            innocent = self.start_callers(system.entry, STREAMS, TOKENS,
                                          "innocent")
            self.wait_received(innocent, 10)
            for entry in list(system.entries.values()) * 2:
                status, body = chat(entry, "CRASH-ENGINE", 5, 5_000)
                self.assertNotEqual(status, 200, body)
            self.check_whole(innocent)
            lost = sum(not endpoint.is_engine_running()
                       for endpoint in system.endpoints)
            self.assertGreaterEqual(lost, 1)
            self.assertLessEqual(lost, 2)
            self.report(f"crashing request, {lost} engines lost", innocent)


if __name__ == "__main__":
    unittest.main(verbosity=2)
