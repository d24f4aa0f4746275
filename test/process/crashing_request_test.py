"""One request that crashes each engine that begins to run it, and comes again."""

import json
import signal
import time
import unittest

from cluster import request, wait_until
from crashing_fleet import CrashingFleet
from platform_cluster import Caller, PlatformCluster, expected_events, in_background

CRASHING_BODY = "crashing"
PART = "c0ffee"
# The target: this many crashes, then this time to settle, then this many runs.
TOLERATED_CRASHES = 3
SETTLE_S = 3.0
LATE_RUNS = 3
REQUEST_INTERVAL_S = 0.25


class CrashingRequestTest(unittest.TestCase):

    def fleet(self, system, extra=(), **options):
        return CrashingFleet(system, ("dc1", "dc2", "dc3"), 3,
                             ["--crash-body", CRASHING_BODY, *extra], routers_per_zone=2,
                             **options)

    def send(self, system, number, body=CRASHING_BODY, path="/stream/x"):
        """Starts a request at one of the routers in turn. No part of its prompt
        is shared with requests of another body."""
        router = system.routers[number % len(system.routers)]
        kind = "crashing" if body == CRASHING_BODY else "sound"
        return in_background(Caller, router, "POST", path, f"{kind}-{number}", {}, body)

    def press(self, system, fleet, seconds, first=0, interval_s=REQUEST_INTERVAL_S, **options):
        """Sends the crashing request again and again; returns when, and how many
        runs there were by then."""
        samples = []
        for number in range(first, first + int(seconds / interval_s)):
            samples.append((time.monotonic(), fleet.runs("crashing-")))
            self.send(system, number, **options)
            time.sleep(interval_s)
        return samples

    def check_late_runs(self, fleet, samples):
        """Each run of the crashing request crashes its engine."""
        crashed = [at for at, runs in samples if runs >= TOLERATED_CRASHES]
        self.assertTrue(crashed)
        settled = max(runs for at, runs in samples if at <= crashed[0] + SETTLE_S)
        crashes = fleet.runs("crashing-")
        self.assertLessEqual(crashes - settled, LATE_RUNS, f"{crashes} crashes")

    def test_request_that_crashes_engines_stops_reaching_them(self):
        with PlatformCluster() as system, self.fleet(system) as fleet:
            self.check_late_runs(fleet, self.press(system, fleet, 12))

    def test_request_stops_reaching_engines_that_come_back_at_their_address(self):
        with PlatformCluster() as system, \
                self.fleet(system, back_s=0, is_same_engine=True) as fleet:
            self.check_late_runs(fleet, self.press(system, fleet, 12))

    def test_request_stops_reaching_engines_that_start_again_at_once(self):
        with PlatformCluster() as system, \
                self.fleet(system, extra=["--restart-at-once"]) as fleet:
            self.check_late_runs(fleet, self.press(system, fleet, 12))

    def test_request_stops_reaching_engines_that_are_all_gone_for_some_seconds(self):
        with PlatformCluster() as system, self.fleet(system, back_s=SETTLE_S + 1) as fleet:
            self.check_late_runs(fleet, self.press(system, fleet, 12, interval_s=0.05))

    def test_request_stops_reaching_engines_whose_end_shows_when_they_are_replaced(self):
        with PlatformCluster() as system, \
                self.fleet(system, back_s=SETTLE_S, has_relays=True) as fleet:
            self.check_late_runs(fleet, self.press(system, fleet, 18))

    def test_copy_of_a_request_that_has_just_been_cut_is_not_sent(self):
        with PlatformCluster() as system, \
                self.fleet(system, back_s=60, has_relays=True) as fleet:
            self.send(system, 0).result()
            runs = fleet.runs("crashing-")
            self.assertGreater(runs, 0)
            copy = self.send(system, len(system.routers)).result()
            self.assertEqual(fleet.runs("crashing-"), runs)
            self.assertEqual(copy.status, 503)
            self.assertIn("retry-after", copy.headers)

    def test_request_stops_reaching_plain_endpoints_that_it_crashes(self):
        with PlatformCluster() as system, self.fleet(system, desks=6) as fleet:
            self.check_late_runs(fleet, self.press(system, fleet, 12, path="/book/x"))

    def kill_and_start_routers(self, system):
        killed, system.routers = system.routers, []
        for router in killed:
            router.send(signal.SIGKILL)
            router.child.wait()
        zones = ("dc1", "dc2", "dc3")
        for index, router in enumerate(killed):
            system.add_router(router.settings.rsplit("/", 1)[1][:-5],
                              zone=zones[index % len(zones)],
                              ports=(router.callers, router.ready, router.control))
        for router in system.routers:
            system.wait_ready(router)

    def test_request_that_crashed_engines_is_known_after_all_routers_restart(self):
        with PlatformCluster() as system, self.fleet(system) as fleet:
            # A value that no router writes must not keep one from the others.
            request(system.store.port, "POST", "/objects/crashes",
                    {"metadata": {"name": "foreign"}, "spec": {"written_ms": "x"}})
            self.press(system, fleet, 2)
            self.assertGreaterEqual(fleet.runs("crashing-"), TOLERATED_CRASHES)
            late = 0
            for restart in range(2):
                time.sleep(SETTLE_S)
                self.kill_and_start_routers(system)
                time.sleep(SETTLE_S)
                known = fleet.runs("crashing-")
                self.press(system, fleet, 2, first=1000 * (restart + 1))
                late += fleet.runs("crashing-") - known
            self.assertLessEqual(late, LATE_RUNS, f'{fleet.runs("crashing-")} crashes')

    def kept_crashes(self, system):
        objects = json.loads(request(system.store.port, "GET", "/objects/crashes")[2])["items"]
        return {run for each in objects for run in each["spec"]["causes"]["crashes"]}

    def test_crashes_are_kept_again_when_the_store_returns_from_an_older_copy(self):
        with PlatformCluster() as system, self.fleet(system) as fleet:
            request(system.store.port, "POST", "/fake/save", "")
            self.press(system, fleet, 2)
            wait_until(lambda: len(self.kept_crashes(system)) >= TOLERATED_CRASHES,
                       "the crashes are kept")
            system.store_mode("reset")
            for router in system.routers:
                wait_until(lambda router=router: '"E0202"' in router.log(), "the outage is noticed")
            request(system.store.port, "POST", "/fake/restore", "")
            system.store_mode("up")
            wait_until(lambda: len(self.kept_crashes(system)) >= TOLERATED_CRASHES,
                       "the crashes are kept again", 10)

    def test_sound_requests_that_share_a_part_with_a_crashing_one_are_served(self):
        with PlatformCluster() as system, self.fleet(system) as fleet:
            def stream(number, kind, body):
                router = system.routers[number % len(system.routers)]
                headers = {"Auburnlb-Prefix-Hash": f"{PART}:40,{kind}:20"}
                return in_background(Caller, router, "POST", "/stream/x",
                                     f"{kind}-{number}", headers, body)
            sound = []
            for number in range(40):
                stream(number, "crashing", CRASHING_BODY)
                if number >= 24:
                    sound.append(stream(number, f"{number:x}", f"sound-{number}"))
                time.sleep(REQUEST_INTERVAL_S)
            whole = sum(task.result().text == expected_events() for task in sound)
            self.assertGreaterEqual(whole, len(sound) - 1,
                                    f'{fleet.runs("crashing-")} crashes')


if __name__ == "__main__":
    unittest.main()
