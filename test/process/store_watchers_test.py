"""Routers that leave the watching of the store to others."""

import time
import unittest

from cluster import request, wait_until
from platform_cluster import DESK, KEY, Caller, PlatformCluster
from relay import Relay

DROPPED = "key-that-is-taken-away"
# The target: a configuration is in force this long after it was accepted.
CONFIG_APPLY_S = 2.0
# Time in which routers agree who watches.
SETTLE_S = 4.0
# From the last change before the partition to it, and from it to the change.
CUT_AFTER_S, CHANGE_AFTER_S = 0.15, 0.1
# Two watch, and the holder of the duty.
ROUTERS = 4


class StoreWatchersTest(unittest.TestCase):

    def watches(self, router):
        text = request(router.control, "GET", "/metrics")[2]
        return "auburnlb_router_watches_store 1" in text

    def accepts(self, router, number):
        caller = Caller(router, "POST", "/book/x", f"book-{number}",
                        headers={"Authorization": f"Token {DROPPED}"})
        return caller.status != 401

    def test_key_is_refused_in_time_while_the_watchers_are_cut_off(self):
        with PlatformCluster() as system:
            for index in range(2):
                system.add_engine(f"desk-{index}", service=DESK)
            relays = [Relay(system, f"relay-{index}", system.store.port)
                      for index in range(ROUTERS)]
            for index, relay in enumerate(relays):
                system.add_router(f"router-{index}", store_port=relay.port)
            for router in system.routers:
                system.wait_ready(router)
            system.configure(keys=(KEY, DROPPED))
            time.sleep(SETTLE_S)
            wait_until(lambda: not all(map(self.watches, system.routers)),
                       "a router leaves the watching to the others")
            # The watches of both kinds of objects begin anew, and so wait as long as can be.
            system.configure(keys=(KEY, DROPPED))
            system.add_engine("desk-late", service=DESK)
            calm = next(each for each in system.routers if not self.watches(each))
            time.sleep(CUT_AFTER_S)
            for relay, router in zip(relays, system.routers):
                if router is not calm:
                    relay.command("silence")
            time.sleep(CHANGE_AFTER_S)
            system.configure(keys=(KEY,))
            changed = time.monotonic()
            number = 0
            while self.accepts(calm, number):
                number += 1
                self.assertLess(time.monotonic() - changed, CONFIG_APPLY_S + 2)
                time.sleep(0.02)
            self.assertLess(time.monotonic() - changed, CONFIG_APPLY_S)


if __name__ == "__main__":
    unittest.main()
