"""A store that comes back from an older copy."""

import json
import time
import unittest

from cluster import request, wait_until
from platform_cluster import DESK, HOST, Caller, calm

# The target: a change is in force this long after the store is back and stable.
IN_FORCE_S = 5.0
# The target: an endpoint that leaves gets nothing from this time on.
DRAIN_S = 2.0
WATCHED_S = 3.0


def added_route(name):
    return {"name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": "safe",
            "timeout-ms": 1000, "service": DESK, "max-attempts": 2, "public": True}


class StoreRestoreTest(unittest.TestCase):

    def control(self, system, what):
        status, _, text = request(system.store.port, "POST", f"/fake/{what}", "")
        self.assertEqual(status, 200)
        return json.loads(text)["revision"]

    def write_others(self, system, count):
        """Changes of objects that no router reads."""
        for _ in range(count):
            self.others = getattr(self, "others", 0) + 1
            request(system.store.port, "PUT", "/objects/others/x?operator=1",
                    {"metadata": {"name": "x"}, "spec": {"number": self.others}})

    def restore(self, system, write_again=lambda: None):
        """The store goes away and comes back from its copy, with what was
        written again before any router reached it."""
        system.store_mode("reset")
        for router in system.routers:
            wait_until(lambda router=router: '"E0202"' in router.log(), "the outage is noticed")
        self.control(system, "restore")
        write_again()
        system.store_mode("up")

    def wait_listed(self, system):
        for router in system.routers:
            wait_until(lambda router=router: router.log().count('"E0206"') >= 2,
                       "the return is noticed")
        time.sleep(0.5)

    def status(self, router, name):
        self.asked = getattr(self, "asked", 0) + 1
        return Caller(router, "GET", f"/{name}/x", f"{name}-{self.asked}").status

    def runs_of(self, system, engine):
        return sum(json.loads(request(system.engines[engine].port, "GET", "/fake/runs")[2])
                   ["runs"].values())

    def check_gets_nothing(self, system, engine):
        before = self.runs_of(system, engine)
        end = time.monotonic() + WATCHED_S
        while time.monotonic() < end:
            self.assertEqual(self.status(system.routers[0], "look"), 200)
        self.assertEqual(self.runs_of(system, engine), before)

    def test_change_below_the_last_watched_revision_is_in_force(self):
        with calm() as system:
            self.control(system, "save")
            self.write_others(system, 100)
            system.configure(routes=[added_route("first")])
            for router in system.routers:
                wait_until(lambda router=router: self.status(router, "first") == 200,
                           "the first change is in force")
            first = {"routes": [added_route("first")]}
            both = {"routes": [added_route("first"), added_route("second")]}

            def write_again():
                system.version -= 1
                system.configure(**first)
                system.configure(**both)
                self.write_others(system, 200)
            self.restore(system, write_again)
            for router in system.routers:
                wait_until(lambda router=router: self.status(router, "second") == 200,
                           "the change after the return is in force", IN_FORCE_S)

    def test_endpoint_that_drains_after_the_return_gets_nothing(self):
        with calm() as system:
            self.control(system, "save")
            self.write_others(system, 400)
            system.add_engine("desk-new", service=DESK)
            wait_until(lambda: '"desk-new"' in system.routers[0].log(), "it is known")
            self.restore(system)
            self.wait_listed(system)
            request(system.engines["desk-0"].port, "POST", "/fake/drain", "")
            time.sleep(DRAIN_S)
            self.check_gets_nothing(system, "desk-0")

    def test_copy_does_not_bring_back_a_draining_endpoint(self):
        with calm() as system:
            self.control(system, "save")
            request(system.engines["desk-0"].port, "POST", "/fake/drain", "")
            wait_until(lambda: '"E0301"' in system.routers[0].log(), "it drains")
            self.restore(system, lambda: self.write_others(system, 100))
            self.wait_listed(system)
            self.check_gets_nothing(system, "desk-0")

    def test_copy_does_not_bring_back_an_endpoint_that_has_left(self):
        with calm() as system:
            self.control(system, "save")
            request(system.store.port, "DELETE", "/objects/servers/desk-0?operator=1")
            wait_until(lambda: '"E0302"' in system.routers[0].log(), "it has left")
            self.restore(system, lambda: self.write_others(system, 100))
            self.wait_listed(system)
            self.check_gets_nothing(system, "desk-0")

    def test_router_that_registered_after_the_copy_registers_again(self):
        with calm() as system:
            self.control(system, "save")
            newcomer = system.add_router("router-new", zone="dc1")
            listed = lambda: request(system.store.port, "GET", "/objects/routers?operator=1")[2]
            wait_until(lambda: "router-new" in listed(), "the router is registered")
            system.wait_ready(newcomer)
            self.restore(system)
            wait_until(lambda: "router-new" in listed(), "the router is registered again",
                       IN_FORCE_S)


if __name__ == "__main__":
    unittest.main()
