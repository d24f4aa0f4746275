"""Engines that write a second copy of an answer late, whole or in part, where
the next answer on the connection is expected."""

import unittest

from raw_engine import RawDeployment, answer

REQUESTS = 20
FAILURE = "500 Internal Server Error"
NOT_RUN = (408, 421, 429, 503)
# Each is written as a whole, or in pieces of at most so many bytes.
PIECES = (None, 20, 1)


class LateAnswersTest(unittest.TestCase):

    def check_own(self, system, got, failed=()):
        """Nobody gets another answer, a false success or a false refusal."""
        runs = system.count_runs(got.request_id)
        if got.status // 100 == 2:
            self.assertNotIn(got.request_id, failed, f"{got.status} {got.text!r}")
            self.assertEqual(got.text, f"ran {got.request_id}")
            self.assertEqual(got.headers.get("auburnlb-response-stamp"),
                             f"stamp-{got.request_id}")
        if got.status in NOT_RUN:
            self.assertEqual(runs, 0, "the caller was told that it has not run")

    def check_late_copies(self, copy_of, statuses):
        """Each answer on a connection in use again comes after a copy of the one
        before. The routes by turns may run more than once and may not."""
        written = []

        def serve(exchange, memory):
            own = answer(exchange.request_id)
            if "last" in memory:
                written.append(exchange.request_id)
                exchange.write(copy_of(memory["last"]), PIECES[len(written) % len(PIECES)])
            exchange.write(own, PIECES[len(written) % len(PIECES)])
            memory["last"] = exchange.request_id
            return True

        with RawDeployment(engines=2) as system:
            system.serve_by(serve)
            for number in range(REQUESTS):
                send = system.look if number % 2 else system.book
                got = send(system.router, f"call-{number}")
                self.check_own(system, got)
                self.assertIn(got.status, statuses, got.text)
        self.assertGreater(len(written), REQUESTS // 4)

    def test_late_copy_that_names_its_request_is_not_the_next_answer(self):
        self.check_late_copies(answer, (200,))

    def test_late_copy_without_an_id_is_not_the_next_answer(self):
        self.check_late_copies(lambda last: answer(last, is_named=False), (200,))

    def check_broken_copies(self, cuts):
        """A copy of a success breaks off within its head, and a failure follows."""
        failed, succeeded = set(), set()

        def serve(exchange, memory):
            own = answer(exchange.request_id)
            if "last" in memory and cuts:
                failed.add(exchange.request_id)
                copy = answer(memory["last"])
                pieces = PIECES[len(cuts) % len(PIECES)]
                exchange.write(copy[:copy.index(cuts.pop()) + 1], pieces)
                own = answer(exchange.request_id, f"failed {exchange.request_id}", FAILURE)
                exchange.write(own, pieces)
                return True
            memory["last"] = exchange.request_id
            succeeded.add(exchange.request_id)
            exchange.write(own)
            return True

        with RawDeployment(engines=2) as system:
            system.serve_by(serve)
            for number in range(60):
                send = system.look if number % 4 == 3 else system.book
                self.check_own(system, send(system.router, f"call-{number}"), failed - succeeded)
                if not cuts:
                    break
        self.assertEqual(cuts, [], "not all copies were written")

    def test_copy_that_breaks_off_in_a_value_makes_no_success_of_a_failure(self):
        self.check_broken_copies([b"ain; charset", b": text", b"lain", b"utf-8", b"tamp-", b"call-"])

    def test_copy_that_breaks_off_elsewhere_makes_no_success_of_a_failure(self):
        self.check_broken_copies([b"P/1.1", b" 200", b"0 OK", b"K\r", b"\r\n", b"\n", b"ype:",
                                  b"quest-Id"])


if __name__ == "__main__":
    unittest.main()
