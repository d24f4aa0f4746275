"""Engines that fall silent for a moment, as sound ones may, and go on."""

import json
import signal
import threading
import time
import unittest

from caller_view import Trace, find_broken
from cluster import request
from kept_connection import ask
from platform_cluster import DESK, calm, in_background

# Longer than a router waits for an event, shorter than a caller does.
SILENCE_S = 1.0
STREAMS = 6
LONG_DEADLINE = {"Auburnlb-Deadline-Ms": "8000"}


def engines_running(system, request_id):
    """Names of the live engines that a request was sent to, the first of its path."""
    return [name for name, engine in system.engines.items() if engine.child.poll() is None
            and request_id in json.loads(request(engine.port, "GET", "/fake/runs")[2])["runs"]]


def silence(system, names, seconds=SILENCE_S):
    """Stops the engines' processes; their hosts still take bytes."""
    for name in names:
        system.engines[name].send(signal.SIGSTOP)

    def wake():
        time.sleep(seconds)
        for name in names:
            system.engines[name].send(signal.SIGCONT)
    thread = threading.Thread(target=wake)
    thread.start()
    return thread


class SilentEngineTest(unittest.TestCase):

    def stream_through_silence(self, choose_silent, choose_refusing):
        """Streams while some engines are silent and others refuse all."""
        with calm() as system:
            router = system.routers[0]
            begun = threading.Semaphore(0)

            seen = set()

            def on_piece(record):
                if record.request_id not in seen:
                    seen.add(record.request_id)
                    begun.release()
            tasks = [in_background(ask, router, f"stream-{index}", "/stream/x", None, None,
                                   on_piece) for index in range(STREAMS)]
            for _ in tasks:
                self.assertTrue(begun.acquire(timeout=5))
            first = engines_running(system, "stream-0")[0]
            for name in choose_refusing(system, first):
                system.fault(name, "shed")
            waker = silence(system, choose_silent(system, first))
            records = [task.result() for task in tasks]
            waker.join()
            self.check(system, records)

    def check(self, system, records):
        """All are whole, and as they must be."""
        self.assertEqual(find_broken(records, Trace(system.runs()["runs"], system.lives())), [])
        self.assertEqual([str(each) for each in records
                          if each.status != 200 or not each.is_whole], [])

    @staticmethod
    def models(system):
        return [name for name in system.engines if name.startswith("engine")]

    def other_zone(self, system, first):
        zone = first.rsplit("-", 1)[0]
        return [name for name in self.models(system) if not name.startswith(zone)]

    def same_zone(self, system, first):
        return [name for name in self.models(system)
                if name not in self.other_zone(system, first)]

    def test_streams_of_a_silent_first_engine_are_whole_while_others_refuse(self):
        self.stream_through_silence(lambda system, first: [first], self.other_zone)

    def test_streams_of_a_silent_later_engine_are_whole_while_others_refuse(self):
        self.stream_through_silence(
            lambda system, first: [name for name in self.same_zone(system, first)
                                   if name != first], self.other_zone)

    def test_streams_are_whole_while_all_engines_are_silent(self):
        self.stream_through_silence(lambda system, first: self.models(system),
                                    lambda system, first: [])

    def test_streams_of_silent_engines_are_whole_while_others_are_free(self):
        self.stream_through_silence(self.same_zone, lambda system, first: [])

    def test_a_read_of_a_silent_service_is_answered_while_others_refuse(self):
        with calm() as system:
            desks = [name for name, engine in system.engines.items()
                     if name.startswith(DESK)]
            router = system.routers[0]
            self.assertEqual(system.look(router, "look-0").status, 200)
            silent, refusing = desks
            system.fault(refusing, "shed")
            records = []
            # The service that refuses is avoided for a moment.
            for index in range(4):
                waker = silence(system, [silent], 0.5)
                records.append(ask(router, f"look-{index + 1}", "/look/x", LONG_DEADLINE))
                waker.join()
            self.check(system, records)


if __name__ == "__main__":
    unittest.main(verbosity=2)
