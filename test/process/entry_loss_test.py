"""Callers whose entry is lost, or whose connection breaks, come back for the
rest of their answers with Last-Event-ID."""

import threading
import unittest

import cluster
from fixture import DEADLINE_MS, LAYERS, SERVICE, WORKSPACE, ModelCluster

RANGES = [(0, 4), (0, 4), (4, 8), (4, 8), (8, 12), (8, 12)]
TOKENS = 100
CUT_AT = 30


class Leave(Exception):
    """Ends the first connection."""


class ReturningCaller(threading.Thread):
    """Reads until its connection breaks, then asks another entry for the rest."""

    def __init__(self, first, second, content, leave_at=None):
        super().__init__(daemon=True)
        self.first, self.second = first, second
        self.content = content
        self.leave_at = leave_at
        self.before = cluster.Answer()
        self.after = None
        self.failure = None
        self.start()

    def headers(self):
        return {"Idempotency-Key": "key-" + self.content.replace(" ", "-"),
                "X-Request-Timeout-Ms": str(DEADLINE_MS)}

    def run(self):
        try:
            try:
                cluster.stream_chat(self.first.callers, SERVICE, WORKSPACE,
                                    self.content, TOKENS, self._on_token,
                                    self.headers(), self.before)
            except (OSError, Leave, cluster.http.client.HTTPException):
                pass
            headers = self.headers()
            headers["Last-Event-ID"] = self.before.ids[-1]
            self.after = cluster.stream_chat(self.second.callers, SERVICE,
                                             WORKSPACE, self.content, TOKENS,
                                             None, headers)
        except Exception as failure:
            self.failure = failure

    def _on_token(self, received):
        if received == self.leave_at:
            raise Leave


class EntryLossTest(unittest.TestCase):

    def check_rest(self, caller, expected):
        caller.join(60)
        self.assertIsNone(caller.failure)
        self.assertIsNone(caller.after.error)
        self.assertTrue(caller.after.is_done)
        self.assertEqual((caller.before.text + caller.after.text).strip(),
                         expected.strip())
        indexes = [int(each.rsplit(":", 1)[1])
                   for each in caller.before.ids + caller.after.ids]
        self.assertEqual(indexes[:TOKENS], list(range(TOKENS)))

    def test_callers_of_a_killed_entry_join_their_running_answers(self):
        with ModelCluster(RANGES, entries=2) as system:
            first, second = system.entries.values()
            contents = [f"care note {number}" for number in range(10)]
            callers = [ReturningCaller(first, second, content)
                       for content in contents]
            cluster.wait_until(
                lambda: all(len(each.before.ids) >= CUT_AT for each in callers),
                "every caller has the first tokens")
            steps = sum(each.counts()["streams"] for each in system.endpoints)
            self.assertGreater(steps, 0)
            first.kill()
            for caller in callers:
                self.check_rest(caller, cluster.expected_answer(
                    caller.content, LAYERS, TOKENS))
            self.assertEqual(
                system.metric(second, "auburnlb_adopted_streams_total"),
                len(callers))
            system.wait_memory_free(30)

    def test_a_caller_that_only_lost_its_connection_goes_on_at_its_entry(self):
        with ModelCluster(RANGES) as system:
            caller = ReturningCaller(system.entry, system.entry, "job card",
                                     leave_at=CUT_AT)
            self.check_rest(caller, cluster.expected_answer(
                "job card", LAYERS, TOKENS))
            system.wait_memory_free(30)

    def test_a_caller_moves_to_another_entry_while_its_first_one_lives(self):
        with ModelCluster(RANGES, entries=2) as system:
            first, second = system.entries.values()
            caller = ReturningCaller(first, second, "quote", leave_at=CUT_AT)
            self.check_rest(caller, cluster.expected_answer(
                "quote", LAYERS, TOKENS))
            system.wait_memory_free(30)

    def test_an_answer_that_nobody_holds_is_reported_and_not_made_up(self):
        with ModelCluster(RANGES) as system:
            answer = cluster.stream_chat(
                system.entry.callers, SERVICE, WORKSPACE, "job card", TOKENS,
                None, {"Last-Event-ID": "abc-1:5"})
            self.assertEqual(answer.error["reason"], "stream_lost")
            self.assertEqual(answer.text, "")


if __name__ == "__main__":
    unittest.main(verbosity=2)
