"""Callers of the soak: each keeps its connection for as long as it is open and notes what
it sees of every request."""

import http.client
import random
import threading
import time

from platform_cluster import EVENTS, HOST, KEY

CALLER_TIMEOUT_S = 20
STREAM_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 1.0


class Outcome:
    """What a caller saw of one request."""

    def __init__(self, request_id, kind, member):
        self.request_id = request_id
        self.kind = kind
        self.router = member.name
        self.member = member
        self.incarnation = member.incarnation
        self.started = time.monotonic()
        self.ended = None
        self.status = 0
        self.headers = {}
        self.text = ""
        self.is_whole = False
        self.has_left = False
        self.failure = ""
        self.is_kept_connection = False
        # For a request on a route that was added: its number.
        self.route = 0

    def limit_s(self):
        return STREAM_TIMEOUT_S if self.kind == "stream" else CALL_TIMEOUT_S

    def __str__(self):
        return (f"{self.request_id} at {self.router} run {self.incarnation}: "
                f"status {self.status}, {len(self.text)} bytes, whole {self.is_whole}, "
                f"left {self.has_left}, {self.ended - self.started:.2f} s {self.failure}")


class CallerThread(threading.Thread):
    """One caller with requests drawn by a seed of its own."""

    def __init__(self, world, promises, seed, number):
        super().__init__(daemon=True)
        self.world = world
        self.promises = promises
        self.rng = random.Random(f"{seed}-{number}")
        self.number = number
        self.count = 0
        self.is_over = threading.Event()
        self.connection = None
        self.member = None

    def run(self):
        while not self.is_over.is_set():
            self.one()
            time.sleep(self.rng.uniform(0, 0.04))
        self.drop()

    def drop(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def connect(self):
        """Uses the open connection on; otherwise any router that is ready."""
        if self.connection is not None and self.rng.random() < 0.05:
            self.drop()
        if self.connection is not None:
            return True
        ready = list(self.world.ready)
        if not ready:
            return False
        self.member = self.rng.choice(ready)
        self.connection = http.client.HTTPConnection("127.0.0.1", self.member.callers,
                                                     timeout=CALLER_TIMEOUT_S)
        return True

    def one(self):
        kind = self.rng.choices(("stream", "book", "look", "added"), (50, 25, 15, 10))[0]
        leaves_after = self.rng.randint(1, EVENTS) if self.rng.random() < 0.1 else None
        if not self.connect():
            return
        self.count += 1
        outcome = Outcome(f"{kind}-{self.number}-{self.count}", kind, self.member)
        outcome.is_kept_connection = self.connection.sock is not None
        if kind == "added":
            outcome.route = self.rng.randint(1, max(1, self.world.newest_route))
        try:
            self.exchange(outcome, leaves_after if kind == "stream" else None)
        except (http.client.HTTPException, OSError) as failure:
            outcome.failure = repr(failure)
            self.drop()
        outcome.ended = time.monotonic()
        self.promises.note(outcome)

    def exchange(self, outcome, leaves_after):
        method = "POST" if outcome.kind in ("stream", "book") else "GET"
        path = f"/added-{outcome.route}/x" if outcome.route else f"/{outcome.kind}/x"
        self.connection.request(method, path, "{}" if method == "POST" else None, {
            "Host": HOST, "Authorization": f"Token {KEY}",
            "Auburnlb-Request-Id": outcome.request_id,
            "Auburnlb-Deadline-Ms": str(int(outcome.limit_s() * 1000)),
            "Auburnlb-Model": "m", "Auburnlb-Token-Counts": f"100,{EVENTS}"})
        answer = self.connection.getresponse()
        outcome.status = answer.status
        outcome.headers = {name.lower(): value for name, value in answer.getheaders()}
        while True:
            piece = answer.read1(65536)
            if not piece:
                break
            outcome.text += piece.decode()
            if leaves_after is not None and outcome.text.count("\n\n") >= leaves_after:
                outcome.has_left = True
                self.drop()
                return
        # Tells an empty answer's end, too, without which the connection is not used on.
        answer.read()
        outcome.is_whole = True
        if answer.will_close:
            self.drop()
