"""Engines, plain services and platforms that answer with bytes without end:
companions and entries stay within a node's memory."""

import time
import unittest

from cluster import Cluster, wait_until
from endless_server import EndlessServer
from memory import peak_mb

# The target for a node's control.
NODE_MB = 128


class EndlessPeersTest(unittest.TestCase):

    def check_process(self, process, server):
        wait_until(lambda: server.answers > 0, "the server is asked")
        end = time.monotonic() + 4
        while time.monotonic() < end and process.child.poll() is None \
                and peak_mb(process) < NODE_MB:
            time.sleep(0.05)
        self.assertIsNone(process.child.poll(), "the process lives")
        print(f"{process.name}: peak {peak_mb(process):.0f} MB, {server.answers} answers")
        self.assertLess(peak_mb(process), NODE_MB)

    def check_companion(self, is_head_whole):
        server = EndlessServer(is_head_whole)
        with Cluster() as cluster:
            companion = cluster.add_companion("node-0", "writer", "model", server.port)
            self.check_process(companion, server)
        server.close()

    def test_engine_that_answers_without_end_does_not_fill_its_companion(self):
        self.check_companion(True)

    def test_engine_with_a_head_without_end_does_not_fill_its_companion(self):
        self.check_companion(False)

    def test_platform_that_answers_without_end_does_not_fill_an_entry(self):
        server = EndlessServer()
        with Cluster() as cluster:
            cluster.platform.port = server.port
            values = cluster.node("entry-0", "dc1")
            entry = cluster.start_daemon("auburnlb-entry", "entry-0", values)
            self.check_process(entry, server)
        server.close()


if __name__ == "__main__":
    unittest.main()
