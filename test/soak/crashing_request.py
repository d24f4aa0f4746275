"""Requests that crash each engine that runs them, and which of their runs come late: one
that is sent again and again, or different ones with a part of the prompt in common."""

import random
import threading
import time

from platform_cluster import Caller

BODY = "crashing"
PART = "bad0"
# Parts that sound requests do not share, one of which comes with the crashing part.
BEGINNINGS = ("5a", "6b", "7c")
PREFIX = "crash-"
# The users' bound: after this many runs and this time, only so many may follow.
TOLERATED_RUNS = 3
TOLERATED_RUNS_OF_PART = 5
SETTLE_S = 3.0
LATE_RUNS = 3
INTERVAL_S = 0.1
POLL_S = 0.02


class Run:
    """One run, and whether its router was in touch for the time to settle."""

    def __init__(self, request_id, at_s, is_in_touch):
        self.request_id = request_id
        self.at_s = at_s
        self.is_in_touch = is_in_touch


def draw_crash_options(seed):
    """Where in its answer an engine ends when a prompt has the part."""
    rng = random.Random(f"crash-point-{seed}")
    options = ["--crash-part", PART, "--crash-point",
               rng.choice(("request", "head", "later-engine", "4", "30"))]
    return options + (["--reset-connections"] if rng.random() < 0.5 else [])


class CrashingRequest:
    """Sends the requests at routers in turn until it is stopped."""

    def __init__(self, world, has_part=False):
        self.world = world
        self.has_part = has_part
        self.tolerated_runs = TOLERATED_RUNS_OF_PART if has_part else TOLERATED_RUNS
        self.is_over = threading.Event()
        self.routers = {}
        self.runs = []
        self.threads = [threading.Thread(target=each, daemon=True)
                        for each in (self.send, self.watch)]

    def start(self):
        for each in self.threads:
            each.start()

    def stop(self):
        self.is_over.set()

    def send(self):
        number = 0
        while not self.is_over.wait(INTERVAL_S):
            ready = list(self.world.ready)
            if not ready:
                continue
            router = ready[number % len(ready)]
            request_id = f"{PREFIX}{number}"
            self.routers[request_id] = router
            headers, body = {}, BODY
            if self.has_part:
                first = BEGINNINGS[number % len(BEGINNINGS)]
                headers = {"Auburnlb-Prefix-Hash": f"{first}:40,{PART}:40,{number:x}:20"}
                body = request_id
            threading.Thread(target=Caller, daemon=True, args=(
                router, "POST", "/stream/x", request_id, headers, body)).start()
            number += 1

    def watch(self):
        while not self.is_over.wait(POLL_S):
            known = {}
            for run in self.runs:
                known[run.request_id] = known.get(run.request_id, 0) + 1
            for request_id, count in self.world.recorded_runs().items():
                if request_id.startswith(PREFIX):
                    self.note(request_id, count - known.get(request_id, 0))

    def note(self, request_id, count):
        now = time.monotonic()
        router = self.routers[request_id]
        calm_since = max(router.touched, self.world.store_touched)
        is_in_touch = not router.is_paused and calm_since < now - SETTLE_S
        self.runs += [Run(request_id, now, is_in_touch) for _ in range(count)]

    def check(self, promises):
        if len(self.runs) <= self.tolerated_runs:
            return
        settled = self.runs[self.tolerated_runs - 1].at_s + SETTLE_S
        late = [run.request_id for run in self.runs
                if run.at_s > settled and run.is_in_touch]
        if len(late) > LATE_RUNS:
            promises.fail("crashes", f"{len(late)} late runs of {len(self.runs)}: {late}")
