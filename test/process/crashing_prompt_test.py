"""Prompts with a part that crashes engines, and sound ones beside them."""

import time
import unittest

from crashing_fleet import CrashingFleet
from platform_cluster import Caller, PlatformCluster, expected_events, in_background

CRASHING_PART = "bad0"
# The target: this many crashes, then this time to settle, then this many runs.
TOLERATED_CRASHES = 5
SETTLE_S = 3.0
LATE_RUNS = 3
WATCHED_S = 20.0
REQUEST_INTERVAL_S = 0.25


def send(system, number, prompt):
    """Starts a request at one of the routers in turn."""
    kind = "crashing" if CRASHING_PART in prompt else "sound"
    router = system.routers[number % len(system.routers)]
    request_id = f"{kind}-{number}"
    headers = {"Auburnlb-Prefix-Hash": f"{prompt},{number:x}:20"}
    return in_background(Caller, router, "POST", "/stream/x", request_id, headers, request_id)


class CrashingPromptTest(unittest.TestCase):

    def test_part_that_crashes_engines_stops_reaching_them(self):
        with PlatformCluster() as system, \
                CrashingFleet(system, ("dc1", "dc2"), 4,
                              ["--crash-part", CRASHING_PART]) as fleet:
            samples = []
            sound = []
            began = time.monotonic()
            for number in range(int(WATCHED_S / REQUEST_INTERVAL_S)):
                now = time.monotonic()
                samples.append((now, fleet.runs("crashing-")))
                send(system, number, f"5a:40,{CRASHING_PART}:40")
                sound.append((now, send(system, number, "5a:40")))
                time.sleep(REQUEST_INTERVAL_S)
            whole = [(at, task.result().text == expected_events()) for at, task in sound]
            crashes = fleet.crash_times
            last_crash = crashes[:TOLERATED_CRASHES][-1] if crashes else began
            if len(crashes) >= TOLERATED_CRASHES:
                settled = max(runs for at, runs in samples if at <= last_crash + SETTLE_S)
                self.assertLessEqual(fleet.runs("crashing-") - settled, LATE_RUNS,
                                     f"{len(crashes)} crashes")
            late_sound = [is_whole for at, is_whole in whole if at > last_crash + 2 * SETTLE_S]
            self.assertGreater(len(late_sound), 20)
            self.assertGreaterEqual(sum(late_sound), len(late_sound) // 2)

    def test_identifier_that_is_no_utf8_ends_no_router(self):
        with PlatformCluster() as system, \
                CrashingFleet(system, ("dc1", "dc2"), 4, ["--crash-body", "crash"]) as fleet:
            answers = []
            for number in range(8):
                router = system.routers[number % len(system.routers)]
                headers = {"Auburnlb-Prefix-Hash": "5a:40,\xff\xfe:40,1:20"}
                answers.append(in_background(Caller, router, "POST", "/stream/x",
                                             f"odd-{number}", headers, "crash"))
                time.sleep(REQUEST_INTERVAL_S)
            answers = [task.result() for task in answers]
            for router in system.routers:
                self.assertIsNone(router.child.poll(), "a router ended by itself")
                self.assertEqual(system.stream(router, "sound").text, expected_events())
            for answer in answers:
                self.assertEqual(answer.status, 400)
                self.assertIn("Auburnlb-Prefix-Hash", answer.text)
                self.assertIn("5a:40,\ufffd\ufffd:40,1:20", answer.text)
            self.assertEqual(fleet.runs("odd-"), 0)


if __name__ == "__main__":
    unittest.main()
