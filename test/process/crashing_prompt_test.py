"""Prompts with a part that crashes engines, and sound ones beside them."""

import os
import threading
import time
import unittest

from cluster import request
from platform_cluster import Caller, PlatformCluster, expected_events, in_background

CRASHING_PART = "bad0"
# The target: this many crashes, then this time to settle, then this many runs.
TOLERATED_CRASHES = 5
SETTLE_S = 3.0
LATE_RUNS = 3
WATCHED_S = 20.0
REQUEST_INTERVAL_S = 0.25


class CrashingFleet:
    """Routers before engines that a part of a prompt crashes. An engine that
    ended is replaced after a moment."""

    def __init__(self, system, zones, engines_per_zone):
        self.system = system
        self.record = os.path.join(system.folder.name, "runs")
        self.crash_times = []
        self._is_over = threading.Event()
        for zone in zones:
            for index in range(engines_per_zone):
                self.add_engine(f"engine-{zone}-{index}", zone)
        for index, zone in enumerate(zones):
            system.add_router(f"router-{index}", zone=zone)
        for router in system.routers:
            system.wait_served(router)
        self._replacer = threading.Thread(target=self._replace_crashed)
        self._replacer.start()

    def close(self):
        self._is_over.set()
        self._replacer.join()

    def add_engine(self, name, zone):
        engine = self.system.add_engine(
            name, zone=zone, extra=["--record", self.record, "--crash-part", CRASHING_PART])
        engine.zone = zone

    def _replace_crashed(self):
        due = []
        while not self._is_over.wait(0.02):
            for name, engine in list(self.system.engines.items()):
                if engine.child.poll() is not None:
                    self.crash_times.append(time.monotonic())
                    due.append((time.monotonic() + 1, name, engine.zone))
                    del self.system.engines[name]
            for at, name, zone in list(due):
                if time.monotonic() >= at:
                    due.remove((at, name, zone))
                    request(self.system.store.port, "DELETE", f"/objects/servers/{name}")
                    self.add_engine(name + "x", zone)

    def crashing_runs(self):
        with open(self.record, encoding="utf-8") as lines:
            return sum(" crashing-" in line for line in lines)

    def send(self, number, prompt):
        """Starts a request at one of the routers in turn."""
        kind = "crashing" if CRASHING_PART in prompt else "sound"
        router = self.system.routers[number % len(self.system.routers)]
        request_id = f"{kind}-{number}"
        headers = {"Auburnlb-Prefix-Hash": f"{prompt},{number:x}:20"}
        return in_background(Caller, router, "POST", "/stream/x", request_id, headers, request_id)


class CrashingPromptTest(unittest.TestCase):

    def test_part_that_crashes_engines_stops_reaching_them(self):
        with PlatformCluster() as system:
            fleet = CrashingFleet(system, ("dc1", "dc2"), 4)
            samples = []
            sound = []
            began = time.monotonic()
            try:
                for number in range(int(WATCHED_S / REQUEST_INTERVAL_S)):
                    now = time.monotonic()
                    samples.append((now, fleet.crashing_runs()))
                    fleet.send(number, f"5a:40,{CRASHING_PART}:40")
                    sound.append((now, fleet.send(number, "5a:40")))
                    time.sleep(REQUEST_INTERVAL_S)
                whole = [(at, task.result().text == expected_events()) for at, task in sound]
            finally:
                fleet.close()
            crashes = fleet.crash_times
            last_crash = crashes[:TOLERATED_CRASHES][-1] if crashes else began
            if len(crashes) >= TOLERATED_CRASHES:
                settled = max(runs for at, runs in samples if at <= last_crash + SETTLE_S)
                self.assertLessEqual(fleet.crashing_runs() - settled, LATE_RUNS,
                                     f"{len(crashes)} crashes")
            late_sound = [is_whole for at, is_whole in whole if at > last_crash + 2 * SETTLE_S]
            self.assertGreater(len(late_sound), 20)
            self.assertGreaterEqual(sum(late_sound), len(late_sound) // 2)


if __name__ == "__main__":
    unittest.main()
