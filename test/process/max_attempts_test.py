"""Streams of a service without layers run on no more servers than max-attempts
allows, also while all servers are silent, and after resets."""

import socket
import struct
import threading
import time
import unittest

from cluster import wait_until
from platform_cluster import Caller, calm, in_background
from raw_engine import FEED_ROUTE, RawDeployment, answer, stream_head
from silent_engine_test import engines_running

MAX_ATTEMPTS = FEED_ROUTE["max-attempts"]
SERVERS = 5
STREAMS = 6
EVENTS = 20
GAP_S = 0.03
SILENCE_S = 1.0
# A stream that cannot go on ends sooner than its caller leaves, which is after 2 s.
LONGEST_END_S = 0.7


def event(number):
    return f"id: {number}\ndata: piece-{number}\n\n"


def whole_stream():
    return "".join(event(number) for number in range(1, EVENTS + 1))


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Servers:
    """Serves streams event by event; silent, or with resets, as the test says."""

    def __init__(self):
        self.silent_until = 0.0
        # Resets each run of a stream after so many events, up to the given run.
        self.reset_after = None
        self.resets_left = 0
        self.lock = threading.Lock()

    def serve(self, exchange, _):
        if not exchange.target.startswith("/feed/"):
            exchange.write(answer(exchange.request_id))
            return True
        exchange.write(stream_head(exchange.request_id))
        for count, number in enumerate(range(exchange.last_event_id + 1, EVENTS + 1)):
            if count == self.reset_after and self.take_reset():
                reset(exchange.connection)
                return False
            time.sleep(max(GAP_S, self.silent_until - time.monotonic()))
            text = event(number).encode()
            exchange.write(b"%x\r\n%s\r\n" % (len(text), text))
        exchange.write(b"0\r\n\r\n")
        return True

    def take_reset(self):
        with self.lock:
            is_reset = self.resets_left > 0
            self.resets_left -= is_reset
            return is_reset


def open_feed(system, request_id):
    return in_background(Caller, system.router, "POST", "/feed/x", request_id)


def servers_of(system, request_id):
    return [engine for engine in system.raw if engine.runs.get(request_id, 0) > 0]


class MaxAttemptsTest(unittest.TestCase):

    def check(self, system, tasks):
        streams = [task.result() for task in tasks]
        ran_on = {each.request_id: len(servers_of(system, each.request_id)) for each in streams}
        self.assertEqual([each.text == whole_stream() and each.is_whole for each in streams],
                         [True] * len(streams))
        self.assertLessEqual(max(ran_on.values()), MAX_ATTEMPTS, ran_on)
        return ran_on

    def test_streams_whose_servers_are_all_silent_stay_on_the_servers_that_they_may_use(self):
        servers = Servers()
        with RawDeployment(engines=SERVERS, routes=[FEED_ROUTE]) as system:
            system.serve_by(servers.serve)
            tasks = [open_feed(system, f"feed-{index}") for index in range(STREAMS)]
            time.sleep(5 * GAP_S)
            servers.silent_until = time.monotonic() + SILENCE_S
            self.check(system, tasks)

    def test_stream_that_is_reset_four_times_goes_back_to_the_servers_that_it_may_use(self):
        servers = Servers()
        servers.reset_after = 3
        servers.resets_left = 4
        with RawDeployment(engines=SERVERS, routes=[FEED_ROUTE]) as system:
            system.serve_by(servers.serve)
            # The retries become available over the first seconds.
            time.sleep(1)
            ran_on = self.check(system, [open_feed(system, "feed")])
            self.assertEqual(servers.resets_left, 0)
            self.assertEqual(ran_on["feed"], MAX_ATTEMPTS)

    def test_stream_whose_servers_are_gone_ends_at_once(self):
        servers = Servers()
        servers.reset_after = 3
        servers.resets_left = 1
        with RawDeployment(engines=SERVERS, routes=[FEED_ROUTE]) as system:
            system.serve_by(servers.serve)
            time.sleep(1)
            task = open_feed(system, "feed")
            while len(servers_of(system, "feed")) < MAX_ATTEMPTS:
                time.sleep(GAP_S / 10)
            time.sleep(2 * GAP_S)
            ended_at = time.monotonic()
            for engine in servers_of(system, "feed"):
                engine.close()
            stream = task.result()
            self.assertFalse(stream.is_whole)
            self.assertLess(stream.ended_at - ended_at, LONGEST_END_S)

    def test_stream_of_a_model_whose_first_engines_are_gone_ends_at_once(self):
        with calm() as system:
            begun = threading.Event()
            task = in_background(system.stream, system.routers[0], "stream", None,
                                 lambda _: begun.set())
            self.assertTrue(begun.wait(5))
            first, = engines_running(system, "stream")
            system.engines[first].kill()
            wait_until(lambda: len(running := engines_running(system, "stream")) > 0
                       and running[0] != first, "the stream goes on")
            second, = engines_running(system, "stream")
            killed_at = time.monotonic()
            system.engines[second].kill()
            stream = task.result()
            self.assertFalse(stream.is_whole)
            self.assertLess(stream.ended_at - killed_at, LONGEST_END_S)


if __name__ == "__main__":
    unittest.main()
