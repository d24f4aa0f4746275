"""Answers that come in very small chunks, some without end: a router goes on
serving everybody else."""

import itertools
import threading
import time
import unittest

from platform_cluster import Caller, in_background
from raw_engine import FEED_ROUTE, RawDeployment, answer, stream_head

# Half of what the users allow a request beyond its timeout.
LONGEST_CALL_S = 0.25
CALL_GAP_S = 0.02
# Chunks in one write.
BLOCK_CHUNKS = 1000
FAULT_S = 2.0


def chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def event(number):
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


class SmallChunksTest(unittest.TestCase):

    def check_calls_beside(self, answer_feed):
        """Calls to a service that answers requests of another route in its own way.
        answer_feed() gets the exchange and its number, and says when it has begun."""
        begun = threading.Event()
        numbers = itertools.count()

        def serve(exchange, _):
            if not exchange.target.startswith("/feed/"):
                exchange.write(answer(exchange.request_id))
                return True
            return answer_feed(exchange, next(numbers), begun)

        with RawDeployment(engines=2, routes=[FEED_ROUTE]) as system:
            system.serve_by(serve)
            stream = in_background(Caller, system.router, "POST", "/feed/x", "feed-1")
            self.assertTrue(begun.wait(5))
            longest = 0.0
            end = time.monotonic() + FAULT_S
            while time.monotonic() < end:
                began = time.monotonic()
                call = system.look(system.router, f"look-{began}")
                longest = max(longest, time.monotonic() - began)
                self.assertEqual(call.status, 200)
                time.sleep(CALL_GAP_S)
            stream.join()
            print(f"longest call {longest * 1000:.0f} ms")
            self.assertLess(longest, LONGEST_CALL_S)

    def check_endless(self, piece, content_type="text/event-stream", events=0):
        """Both engines answer the stream with pieces without end."""
        def answer_feed(exchange, _, begun):
            exchange.write(stream_head(exchange.request_id, content_type))
            for number in range(1, events + 1):
                exchange.write(chunk(event(number)))
            begun.set()
            while True:
                exchange.write(piece * BLOCK_CHUNKS)
        self.check_calls_beside(answer_feed)

    def test_comments_without_end_hold_up_no_other_calls(self):
        self.check_endless(chunk(b":\n"))

    def test_lines_without_end_hold_up_no_other_calls(self):
        self.check_endless(chunk(b"data: x\n"))

    def test_comments_without_end_after_events_hold_up_no_other_calls(self):
        self.check_endless(chunk(b":\n"), events=5)

    def test_single_bytes_without_end_hold_up_no_other_calls(self):
        self.check_endless(chunk(b"x"))

    def test_single_bytes_with_chunk_extensions_hold_up_no_other_calls(self):
        self.check_endless(chunk(b"x", b";name=value"))

    def test_single_bytes_of_no_event_stream_hold_up_no_other_calls(self):
        self.check_endless(chunk(b"x"), content_type="text/plain")

    def test_late_chunks_of_a_superseded_attempt_hold_up_no_other_calls(self):
        is_superseded = threading.Event()

        def answer_feed(exchange, number, begun):
            exchange.write(stream_head(exchange.request_id))
            if number > 0:
                is_superseded.set()
                time.sleep(2 * FAULT_S)
                return False
            exchange.write(chunk(event(1)))
            is_superseded.wait(5)
            begun.set()
            while True:
                exchange.write(chunk(b"x") * BLOCK_CHUNKS)
        self.check_calls_beside(answer_feed)


if __name__ == "__main__":
    unittest.main()
