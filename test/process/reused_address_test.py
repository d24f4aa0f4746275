"""Entries of engines that are gone, whose addresses others have taken."""

import json
import time
import unittest

from cluster import request
from platform_cluster import DESK, MODEL, PlatformCluster

# Several plans and orders.
WATCHED_S = 4.0


class ReusedAddressTest(unittest.TestCase):

    def test_order_for_an_engine_that_is_gone_is_not_taken_by_another_at_its_address(self):
        with PlatformCluster() as system:
            for index in range(2):
                system.add_engine(f"engine-{index}")
            system.add_engine("desk", service=DESK)
            entry = {"service": MODEL, "address": f"127.0.0.1:{system.engines['desk'].port}",
                     "zone": "dc1", "version": "v1", "batch-slots": 16, "state": "ready",
                     "kind": "card", "sequence": 1, "born": 1}
            status, _, text = request(system.store.port, "PUT",
                                      "/objects/servers/engine-gone?operator=1",
                                      {"metadata": {"name": "engine-gone"}, "spec": entry})
            self.assertEqual(status, 200, text)
            router = system.add_router()
            system.wait_ready(router)
            time.sleep(WATCHED_S)
            runs = json.loads(request(system.engines["desk"].port, "GET", "/fake/runs")[2])
            self.assertEqual(runs["orders"], [])
            ordered = [json.loads(line)["peer"] for line in router.log().splitlines()
                       if '"E0702"' in line]
            self.assertIn("engine-0", ordered)


if __name__ == "__main__":
    unittest.main()
