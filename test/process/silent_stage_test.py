"""Engines, companions and services that fall silent for about a second and go on."""

import signal
import threading
import time
import unittest

import cluster
from fixture import ModelCluster, ProcessTest
from plain_test import PlainCluster, book, SERVICE, WORKSPACE

ONE_COPY = [(0, 4), (4, 8), (8, 12)]
TWO_COPIES = [(0, 4), (0, 4), (4, 8), (4, 8), (8, 12), (8, 12)]
STREAMS = 12
TOKENS = 80
SILENCE_S = 1.0
# Longer than a stream's attempts would last one after another.
LONG_SILENCE_S = 4.5
PLAIN_LATENCY_MS = 300
PLAIN_SILENCE_S = 0.7


def hold(processes, seconds):
    """Pauses the processes at once and lets them go on afterwards."""
    for process in processes:
        process.send(signal.SIGSTOP)
    time.sleep(seconds)
    for process in processes:
        process.send(signal.SIGCONT)


def send(entry, method, path):
    """A call without a key."""
    headers = {"Authorization": f"Bearer {cluster.key_of(WORKSPACE)}",
               "X-Request-Timeout-Ms": "20000"}
    status, _, text = cluster.request(entry.callers, method, f"/services/{SERVICE}{path}",
                                      {"van": 1} if method == "POST" else None, headers, 60)
    return status, text


def note(entry, _number):
    """A call that may run once."""
    return send(entry, "POST", "/notes")


def look(entry, _number):
    """A call that may run more than once."""
    return send(entry, "GET", "/pickups")


class SilentStageTest(ProcessTest):

    def hold_in_streams(self, ranges, select, what, seconds=SILENCE_S, streams=STREAMS):
        """Streams through a silence, then checks these answers and later ones."""
        with ModelCluster(ranges) as system:
            callers = self.start_callers(system.entry, streams, TOKENS, what)
            self.wait_received(callers, 10)
            hold(select(system), seconds)
            self.check_whole(callers)
            self.report(what, callers)
            self.check_whole(self.start_callers(system.entry, STREAMS, 10, "later"))
            system.wait_memory_free()

    def test_an_engine_with_a_second_copy(self):
        self.hold_in_streams(TWO_COPIES, lambda system: [system.busiest((4, 8)).engine],
                             "one of two engines silent")

    def test_an_engine_without_a_second_copy(self):
        self.hold_in_streams(ONE_COPY, lambda system: [system.busiest((4, 8)).engine],
                             "the only engine silent")

    def test_a_companion_with_a_second_copy(self):
        self.hold_in_streams(TWO_COPIES, lambda system: [system.busiest((4, 8)).companion],
                             "one of two companions silent")

    def test_a_companion_without_a_second_copy(self):
        self.hold_in_streams(ONE_COPY, lambda system: [system.busiest((4, 8)).companion],
                             "the only companion silent")

    def test_many_streams_at_a_companion_without_a_second_copy(self):
        self.hold_in_streams(ONE_COPY, lambda system: [system.busiest((4, 8)).companion],
                             "the only companion silent, many streams", 1.5, 40)

    def test_all_engines_of_a_range(self):
        self.hold_in_streams(TWO_COPIES, lambda system: [
            each.engine for each in system.endpoints if each.layers == (8, 12)],
            "all engines of a range silent")

    def test_all_companions_of_a_range(self):
        self.hold_in_streams(TWO_COPIES, lambda system: [
            each.companion for each in system.endpoints if each.layers == (8, 12)],
            "all companions of a range silent")

    def test_all_engines(self):
        self.hold_in_streams(TWO_COPIES, lambda system: [
            each.engine for each in system.endpoints], "all engines silent")

    def test_an_engine_that_falls_silent_again_and_again(self):
        def repeat(system):
            engine = system.busiest((4, 8)).engine
            for _ in range(2):
                hold([engine], SILENCE_S)
                time.sleep(SILENCE_S)
            return [engine]
        self.hold_in_streams(ONE_COPY, repeat, "the only engine silent three times")

    def test_a_long_silence_uses_up_neither_attempts_nor_the_retry_budget(self):
        with ModelCluster(TWO_COPIES) as system:
            engines = [each.engine for each in system.endpoints if each.layers == (8, 12)]
            for what in ("first", "second"):
                callers = self.start_callers(system.entry, 20, TOKENS, what)
                self.wait_received(callers, 10)
                hold(engines, LONG_SILENCE_S)
                self.check_whole(callers)
                self.report(f"long silence, {what}", callers)
            system.wait_memory_free()

    def hold_in_calls(self, select, call):
        """Statuses and bodies of calls whose part of the path falls silent."""
        with PlainCluster(PLAIN_LATENCY_MS) as system:
            answers = []
            threads = [threading.Thread(target=lambda number=number: answers.append(
                call(list(system.entries.values())[number % 2], number)))
                for number in range(12)]
            for thread in threads:
                thread.start()
            time.sleep(PLAIN_LATENCY_MS / 2_000)
            hold(select(system), PLAIN_SILENCE_S)
            for thread in threads:
                thread.join(60)
            self.assertEqual(len(answers), len(threads))
            self.assertEqual([status for status, _ in answers], [200] * len(threads), answers)

    def test_calls_without_a_key_at_a_silent_service(self):
        self.hold_in_calls(lambda system: list(system.services.values()), note)

    def test_calls_without_a_key_at_a_silent_companion(self):
        self.hold_in_calls(lambda system: list(system.companions.values()), note)

    def test_keyed_calls_at_a_silent_companion(self):
        self.hold_in_calls(lambda system: list(system.companions.values()),
                           lambda entry, number: book(entry, f"silent-{number}"))

    def test_repeatable_calls_at_a_silent_service(self):
        self.hold_in_calls(lambda system: list(system.services.values()), look)

    def test_repeatable_calls_while_all_companions_are_silent(self):
        self.hold_in_calls(lambda system: list(system.companions.values()), look)


if __name__ == "__main__":
    unittest.main(verbosity=2)
