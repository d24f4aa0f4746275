"""The test deployment itself."""

import json
import os
import unittest
from unittest import mock

import platform_cluster
from platform_cluster import PlatformCluster, free_ports

ROUTERS = 3


class PlatformClusterTest(unittest.TestCase):

    def test_routers_that_have_not_yet_bound_their_ports_share_none(self):
        ports = free_ports(3 * ROUTERS)
        with PlatformCluster() as system, mock.patch.object(platform_cluster, "PORTS", ports), \
                mock.patch.object(system, "start"):
            for index in range(ROUTERS):
                system.add_router(f"router-{index}")
            given = [int(address.rsplit(":", 1)[1]) for index in range(ROUTERS)
                     for address in self.addresses(system, f"router-{index}")]
            self.assertEqual(sorted(given), sorted(ports))

    @staticmethod
    def addresses(system, name):
        with open(os.path.join(system.folder.name, f"{name}.json"), encoding="utf-8") as file:
            values = json.load(file)["router"]
        return [values[each] for each in ("callers", "ready", "control")]


if __name__ == "__main__":
    unittest.main()
