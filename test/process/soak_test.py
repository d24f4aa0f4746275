"""A short part of the soak with fixed seeds; `scripts/soak` plays more and longer."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from soak import play_seed  # noqa: E402

SECONDS = 8


class SoakTest(unittest.TestCase):

    def play(self, seed):
        promises = play_seed(seed, SECONDS)
        self.assertEqual(promises.broken, [])

    def test_soak_of_faults_of_all_kinds(self):
        self.play(20261205)

    def test_soak_of_planned_work(self):
        self.play(20261204)


if __name__ == "__main__":
    unittest.main()
