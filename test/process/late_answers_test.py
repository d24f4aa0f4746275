"""Engines that write a second copy of an answer late, whole or in part, where
the next answer on the connection is expected."""

import unittest

from platform_cluster import EVENTS, HOST, Caller, expected_events
from raw_engine import CUTS, RawDeployment, answer, refusal, render

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

    def test_late_copy_after_an_interim_response_is_not_the_next_answer(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        self.check_late_copies(lambda last: interim + answer(last, is_named=False) + interim,
                               (200,))

    def test_late_copy_of_a_refusal_is_not_that_of_the_next_request(self):
        self.check_late_copies(refusal, (200,))

    def test_late_copy_of_an_answer_without_a_body_is_not_the_next_answer(self):
        self.check_late_copies(lambda last: render("204 No Content", [
            ("Auburnlb-Request-Id", last), ("Auburnlb-Response-Stamp", f"stamp-{last}")]), (200,))

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
                got = send(system.router, f"call-{number}")
                self.check_own(system, got, failed - succeeded)
                if not cuts:
                    break
        self.assertEqual(cuts, [], "not all copies were written")

    def test_copy_that_breaks_off_in_a_value_makes_no_success_of_a_failure(self):
        self.check_broken_copies([b"ain; charset", b": text", b"lain", b"utf-8", b"tamp-",
                                  b"call-"])

    def test_copy_that_breaks_off_elsewhere_makes_no_success_of_a_failure(self):
        self.check_broken_copies([b"P/1.1", b" 200", b"0 OK", b"K\r", b"\r\n", b"\n", b"ype:",
                                  b"quest-Id"])

    def check_own_answer_cut(self, write):
        """The answer itself breaks off, and its second copy follows."""
        with RawDeployment(engines=2) as system:
            system.serve_by(write)
            for number in range(8):
                send = system.look if number % 2 else system.book
                got = send(system.router, f"call-{number}")
                self.check_own(system, got)
                self.assertGreaterEqual(got.status, 500)

    def test_answer_that_breaks_off_in_its_body_is_not_completed_by_a_copy(self):
        def serve(exchange, _):
            own = answer(exchange.request_id, "long " * 8 + exchange.request_id)
            exchange.write(own[:-CUTS.randint(1, 40)] + own)
            return True
        self.check_own_answer_cut(serve)

    def test_answer_that_breaks_off_in_its_head_is_not_completed_by_a_copy(self):
        def serve(exchange, _):
            own = answer(exchange.request_id)
            exchange.write(own[:CUTS.randint(1, own.index(b"Content-Length"))] + own)
            return True
        self.check_own_answer_cut(serve)

    def test_answer_without_a_length_does_not_contain_its_copy(self):
        def serve(exchange, _):
            own = render("200 OK", [("Auburnlb-Request-Id", exchange.request_id),
                                    ("Auburnlb-Response-Stamp", "s")], b"ran it")
            exchange.write(own + own)
            return False
        self.check_own_answer_cut(serve)

    def test_copy_after_a_whole_answer_does_not_harm_it(self):
        def serve(exchange, _):
            exchange.write(answer(exchange.request_id) * 2)
            return True
        with RawDeployment() as system:
            system.serve_by(serve)
            for number in range(REQUESTS):
                got = system.book(system.router, f"call-{number}")
                self.check_own(system, got)
                self.assertEqual(got.status, 200)


def feed_route(is_resumable):
    return {"name": "feed", "host": HOST, "path-prefix": "/feed/", "kind": "streaming",
            "timeout-ms": 3000, "latency-target-ms": 500, "priority": 1, "service": "desk",
            "max-attempts": 2, "public": False, "resumable": is_resumable, "gap-aim-ms": 200}


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream(request_id, is_chunked=True):
    """A whole stream of an engine."""
    fields = [("Auburnlb-Request-Id", request_id),
              ("Auburnlb-Response-Stamp", f"stamp-{request_id}"),
              ("Content-Type", "text/event-stream")]
    events = expected_events().encode()
    if not is_chunked:
        return render("200 OK", fields, events)
    half = len(events) // 2
    return render("200 OK", fields + [("Transfer-Encoding", "chunked")],
                  chunk(events[:half]) + chunk(events[half:]) + b"0\r\n\r\n")


class StreamTailTest(unittest.TestCase):
    """Bytes behind a stream, and copies of it where the next answer is expected."""

    def check_streams(self, serve, is_resumable, is_whole):
        """Nobody gets bytes that are no events, or an end that isn't one."""
        with RawDeployment(engines=2, routes=[feed_route(is_resumable)]) as system:
            system.serve_by(serve)
            for number in range(8):
                got = Caller(system.router, "POST", "/feed/x", f"feed-{number}")
                self.assertTrue(expected_events().startswith(got.text) or got.status != 200,
                                got.text[-200:])
                if got.status == 200 and got.is_whole:
                    self.assertEqual(got.text, expected_events())
                if got.status == 200:
                    self.assertEqual(got.headers["auburnlb-response-stamp"],
                                     f"stamp-{got.request_id}")
                if is_whole:
                    self.assertEqual((got.status, got.is_whole), (200, True), got.text)

    def test_copy_after_the_last_chunk_is_no_part_of_the_stream(self):
        def serve(exchange, _):
            exchange.write(stream(exchange.request_id) * 2)
            return True
        self.check_streams(serve, False, True)

    def test_late_copy_of_a_stream_is_not_the_next_one(self):
        for is_named in (True, False):
            def serve(exchange, memory, is_named=is_named):
                if "last" in memory:
                    copy = stream(memory["last"])
                    name = f"Auburnlb-Request-Id: {memory['last']}\r\n".encode()
                    exchange.write(copy if is_named else copy.replace(name, b""), 20)
                exchange.write(stream(exchange.request_id))
                memory["last"] = exchange.request_id
                return True
            self.check_streams(serve, False, True)

    def test_copy_behind_a_stream_without_a_length_is_no_part_of_it(self):
        def serve(exchange, _):
            exchange.write(stream(exchange.request_id, is_chunked=False) * 2)
            return False
        for is_resumable in (True, False):
            self.check_streams(serve, is_resumable, False)

    def test_copy_within_an_event_is_no_part_of_it(self):
        def serve(exchange, _):
            own = stream(exchange.request_id, is_chunked=False)
            cut = own.index(f"piece-{EVENTS // 2}".encode()) + CUTS.randint(0, 5)
            exchange.write(own[:cut] + own, CUTS.choice(PIECES[:2]))
            return False
        for is_resumable in (True, False):
            self.check_streams(serve, is_resumable, False)


if __name__ == "__main__":
    unittest.main()
