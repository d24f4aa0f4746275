"""Prompts with a part that crashes engines at some point of their answers, beside
sound prompts, long and short, that share parts with them or with each other."""

import json
import time
import unittest

from crashing_fleet import CrashingFleet
from platform_cluster import Caller, PlatformCluster, expected_events, in_background

CRASHING_PART = "bad0"
SHARED_PART = "5a"
OTHER_PARTS = [f"{number:x}e" for number in range(1, 8)]
# The target: this many crashes, then this time to settle, then this many runs.
TOLERATED_CRASHES = 5
SETTLE_S = 3.0
LATE_RUNS = 3
WATCHED_S = 20.0
REQUEST_INTERVAL_S = 0.25
SHORT_EVENTS = 10
LONG_EVENTS = 150
# More than all attempts together can write before they crash their engines.
CRASHING_EVENTS = 1000
# A sound request waits so long at its engine before its answer begins.
HEAD_DELAY_MS = 100
# Share of the sound requests that must be whole once crashes have settled.
WHOLE_SHARE = 0.9


class Traffic:
    """Requests with the crashing part and sound ones, at the routers in turn."""

    def __init__(self, system, fleet):
        self.system = system
        self.fleet = fleet
        self.samples = []
        self.sound = []
        self._count = 0

    def _send(self, kind, parts, events):
        self._count += 1
        router = self.system.routers[self._count % len(self.system.routers)]
        request_id = f"{kind}-{self._count}"
        prompt = ",".join(f"{part}:40" for part in parts) + f",{self._count:x}:20"
        headers = {"Auburnlb-Prefix-Hash": prompt, "Auburnlb-Token-Counts": f"100,{events}"}
        return in_background(Caller, router, "POST", "/stream/x", request_id, headers,
                             request_id)

    def _send_sound(self, parts, events):
        self.sound.append((time.monotonic(), events, self._send("sound", parts, events)))

    def press(self, shared_part=True):
        """Sends until the watched time is over, and waits for all answers."""
        first = [SHARED_PART] if shared_part else []
        for number in range(int(WATCHED_S / REQUEST_INTERVAL_S)):
            self.samples.append((time.monotonic(), self.fleet.runs("crashing-")))
            self._send("crashing", [*first, CRASHING_PART], CRASHING_EVENTS)
            self._send_sound([*first, OTHER_PARTS[number % len(OTHER_PARTS)]], SHORT_EVENTS)
            self._send_sound([OTHER_PARTS[number * 3 % len(OTHER_PARTS)]], LONG_EVENTS)
            time.sleep(REQUEST_INTERVAL_S)
        self.sound = [(at, events, task.result()) for at, events, task in self.sound]

    def settled_at(self):
        """When the time to settle is over after the tolerated crashes, or after
        the last one of fewer. Each run of the crashing requests is a crash."""
        crashes = min(TOLERATED_CRASHES, self.samples[-1][1])
        return SETTLE_S + min(at for at, runs in self.samples if runs >= crashes)

    def late_runs(self):
        settled = max(runs for at, runs in self.samples if at <= self.settled_at())
        return self.fleet.runs("crashing-") - settled

    def late_sound(self):
        """Sound requests after the crashes have settled: answers, and whether each
        is whole."""
        return [(answer, answer.text == expected_events(last=events))
                for at, events, answer in self.sound if at > self.settled_at()]


def is_suspected(answer):
    return answer.status == 503 and json.loads(answer.text)["error"] == "suspected_crash"


class CrashingPartTest(unittest.TestCase):

    def check(self, crash_options, shared_part=True, **fleet_options):
        options = ["--crash-part", CRASHING_PART, "--events", str(CRASHING_EVENTS),
                   "--head-delay", str(HEAD_DELAY_MS), *crash_options]
        with PlatformCluster() as system, \
                CrashingFleet(system, ("dc1", "dc2"), 4, options, **fleet_options) as fleet:
            traffic = Traffic(system, fleet)
            traffic.press(shared_part)
            late_sound = traffic.late_sound()
            seen = (f'{fleet.runs("crashing-")} runs, {traffic.late_runs()} late; of '
                    f"{len(late_sound)} late sound requests "
                    f"{sum(is_suspected(answer) for answer, _ in late_sound)} suspected, "
                    f"{sum(is_whole for _, is_whole in late_sound)} whole")
            self.assertLessEqual(traffic.late_runs(), LATE_RUNS, seen)
            self.assertGreater(len(late_sound), 40, seen)
            self.assertFalse([answer.request_id for answer, _ in late_sound
                              if is_suspected(answer)], seen)
            self.assertGreaterEqual(sum(is_whole for _, is_whole in late_sound),
                                    WHOLE_SHARE * len(late_sound), seen)

    def test_part_that_crashes_engines_before_they_answer_stops_reaching_them(self):
        self.check(["--crash-point", "request"])

    def test_part_that_no_sound_prompt_shares_stops_reaching_engines(self):
        self.check(["--crash-point", "request"], shared_part=False)

    def test_part_that_crashes_engines_which_reset_their_connections_stops_reaching_them(self):
        self.check(["--crash-point", "request", "--reset-connections"])

    def test_part_that_crashes_engines_after_their_head_stops_reaching_them(self):
        self.check(["--crash-point", "head"])

    def test_part_that_crashes_engines_after_some_events_stops_reaching_them(self):
        self.check(["--crash-point", "6"])

    def test_part_that_crashes_engines_after_half_a_second_of_events_stops_reaching_them(self):
        self.check(["--crash-point", "25"])

    def test_part_that_crashes_engines_well_into_their_answers_stops_reaching_them(self):
        self.check(["--crash-point", "75"])

    def test_part_that_crashes_later_engines_of_its_path_stops_reaching_them(self):
        self.check(["--crash-point", "later-engine"])

    def test_part_that_crashes_engines_that_start_again_at_once_stops_reaching_them(self):
        self.check(["--crash-point", "request", "--restart-at-once"])

    def test_part_that_crashes_engines_that_come_back_at_their_address_stops_reaching_them(self):
        self.check(["--crash-point", "request"], back_s=0, is_same_engine=True)


if __name__ == "__main__":
    unittest.main()
