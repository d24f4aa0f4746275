"""Work that routers do for a large change of the configuration."""

import time
import unittest

from cluster import request, wait_until
from platform_cluster import DESK, HOST, calm

ROUTES = 1_400
# Several times the interval at which routers ask each other.
SETTLING_S = 2
READS = "auburnlb_router_configuration_reads_total"
COPIES = "auburnlb_router_configuration_copies_total"
VERSION = "auburnlb_router_configuration_version"


def many_routes(count=ROUTES):
    return [{"name": f"route-{number}", "host": HOST, "path-prefix": f"/many-{number}/",
             "kind": "safe", "timeout-ms": 1000, "latency-target-ms": 100, "priority": 2,
             "service": DESK, "max-attempts": 2, "public": True}
            for number in range(count)]


def metric(router, name):
    for line in request(router.control, "GET", "/metrics")[2].splitlines():
        if line.startswith(name + " "):
            return int(float(line.rsplit(" ", 1)[1]))
    return 0


def change(system, **changes):
    """Reads and copies of one change, by router."""
    before = [(metric(each, READS), metric(each, COPIES)) for each in system.routers]
    version = system.configure(**changes)
    for each in system.routers:
        wait_until(lambda each=each: metric(each, VERSION) == version, "the change is in force")
    time.sleep(SETTLING_S)
    after = [(metric(each, READS), metric(each, COPIES)) for each in system.routers]
    return ([last[0] - first[0] for first, last in zip(before, after)],
            [last[1] - first[1] for first, last in zip(before, after)])


class ConfigurationTest(unittest.TestCase):
    def test_each_router_parses_a_change_once(self):
        with calm(routers=8, zones=("dc1", "dc2")) as system:
            reads, _ = change(system, routes=many_routes())
            self.assertEqual(reads, [1] * 8)


if __name__ == "__main__":
    unittest.main()
