"""Kept connections of callers while the limits of the configuration change."""

import time
import unittest

from caller_view import Trace, find_broken
from cluster import request, wait_until
from kept_connection import KeptConnection, new_exchange
from platform_cluster import DESK, PlatformCluster

CONNECTIONS = 20
SHORT_IDLE_MS = 1000
# Longer than the short limit, far within the long one.
REST_S = 3.0


def calm_desk():
    """A router with one plain service."""
    system = PlatformCluster()
    try:
        system.add_engine("desk", service=DESK)
        router = system.add_router()
        system.wait_ready(router)
        wait_until(lambda: system.look(router, f"probe-{time.monotonic()}").status == 200,
                   "a call is served")
        return system, router
    except BaseException:
        system.__exit__(RuntimeError, None, None)
        raise


def metric(router, name):
    """The sum of a metric over its labels."""
    text = request(router.control, "GET", "/metrics")[2]
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if line.startswith(name))


class Looker:
    """A caller that sends its requests on one connection, also past the announced time."""

    def __init__(self, router, name):
        self.router, self.name = router, name
        self.records = []
        self.connection = KeptConnection(router)

    def look(self):
        """Status and the announced idle time."""
        record = new_exchange(self.router, f"{self.name}-{len(self.records)}", "/look/x")
        self.records.append(self.connection.exchange(
            record, "/look/x", {"Auburnlb-Deadline-Ms": "3000"}))
        return record.status, record.fields.get("keep-alive")


class IdleConnectionsTest(unittest.TestCase):

    def change_limits(self, system, router, **limits):
        version = system.configure(limits=limits)
        wait_until(lambda: metric(router, "auburnlb_router_configuration_version") == version,
                   "the configuration is in force")

    def keep_connections(self, router):
        kept = [Looker(router, f"kept-{index}") for index in range(CONNECTIONS)]
        for each in kept:
            self.addCleanup(each.connection.close)
        return kept

    def check(self, system, kept):
        records = [record for each in kept for record in each.records]
        self.assertEqual(find_broken(records, Trace(system.runs()["runs"], system.lives())), [])

    def test_shorter_idle_limit_cuts_no_request_on_kept_connections(self):
        system, router = calm_desk()
        with system:
            kept = self.keep_connections(router)
            for each in kept:
                self.assertEqual(each.look(), (200, "timeout=20"))
            time.sleep(REST_S)
            self.change_limits(system, router, **{"idle-timeout-ms": SHORT_IDLE_MS})
            time.sleep(REST_S)
            for each in kept:
                self.assertEqual(each.look(), (200, "timeout=1"))
            self.check(system, kept)
            # The new limit was announced, so it holds now.
            wait_until(lambda: metric(router, "auburnlb_router_idle_closes_total") >= CONNECTIONS,
                       "the connections are closed as idle")

    def test_longer_idle_limit_holds_on_kept_connections(self):
        system, router = calm_desk()
        with system:
            self.change_limits(system, router, **{"idle-timeout-ms": SHORT_IDLE_MS})
            kept = self.keep_connections(router)
            for each in kept:
                self.assertEqual(each.look(), (200, "timeout=1"))
            self.change_limits(system, router, **{"idle-timeout-ms": 20000})
            time.sleep(REST_S)
            for each in kept:
                self.assertEqual(each.look(), (200, "timeout=20"))
            self.check(system, kept)


if __name__ == "__main__":
    unittest.main()
