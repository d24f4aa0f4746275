"""What the soak checks, from what callers and engines saw."""

import threading

from platform_cluster import expected_events

# A request that its router neither finishes nor gives up within its route's timeout, the
# bound of half a second beyond it, and what a busy machine may add.
LATE_MARGIN_S = 0.5 + 3.0
NOT_RUN = (408, 421, 429, 503)
# Answers that say nothing about whether the request ran.
UNKNOWN = (502, 504)


class Promises:
    """Collects outcomes; `broken` holds a line for each promise that was not kept."""

    def __init__(self, world, is_planned):
        self.world = world
        self.is_planned = is_planned
        self.lock = threading.Lock()
        self.outcomes = []
        self.broken = []
        # Newest added route that a run of a router has served, and when that was seen.
        self.served_route = {}

    def fail(self, promise, what):
        with self.lock:
            self.broken.append(f"{promise}: {what}")

    def note(self, outcome):
        with self.lock:
            self.outcomes.append(outcome)
        self.check_bytes(outcome)
        self.check_status(outcome)
        self.check_time(outcome)
        if outcome.route:
            self.check_version(outcome)

    def check_bytes(self, outcome):
        """No answer of another, no gap, nothing twice; an early end never looks whole."""
        if outcome.status != 200:
            return
        expected = expected_events() if outcome.kind == "stream" \
            else f"ran {outcome.request_id}"
        is_right = outcome.text == expected if outcome.is_whole \
            else expected.startswith(outcome.text)
        if not is_right:
            self.fail("bytes", f"{outcome}: {outcome.text[-80:]!r}")
        if outcome.is_whole and "auburnlb-response-stamp" not in outcome.headers:
            self.fail("stamp", str(outcome))

    def check_status(self, outcome):
        stamped = "auburnlb-response-stamp" in outcome.headers
        if outcome.status == 500 and stamped and not self.is_planned:
            return
        if outcome.status in NOT_RUN:
            if outcome.status in (429, 503) and "retry-after" not in outcome.headers:
                self.fail("retry-after", str(outcome))
            return
        if outcome.status in (0, 200) + UNKNOWN or (outcome.route and outcome.status == 404):
            return
        self.fail("status", str(outcome))

    def check_time(self, outcome):
        is_calm = not outcome.member.is_paused and \
            outcome.member.touched < outcome.started and \
            outcome.incarnation == outcome.member.incarnation
        if is_calm and outcome.ended - outcome.started > outcome.limit_s() + LATE_MARGIN_S:
            self.fail("timeout", str(outcome))

    def check_version(self, outcome):
        """A router that has served a route never forgets it within its life."""
        run = (outcome.router, outcome.incarnation)
        with self.lock:
            newest, seen = self.served_route.get(run, (0, 0.0))
            if outcome.status == 200 and outcome.route > newest:
                self.served_route[run] = (outcome.route, outcome.ended)
        # Requests that overlap may be seen in either order.
        if outcome.status == 404 and outcome.route <= newest and seen < outcome.started:
            self.fail("version", f"{outcome}: {newest} was served before")

    def check_drained(self):
        """Nothing runs at an engine whose drain was told long ago."""
        for name, streams in self.world.drained:
            if streams and self.is_planned:
                self.fail("drain", f"{name} still has {streams} streams at its drain's end")

    def check_runs(self):
        """Bookings run once at most, and never after "not run"."""
        runs = self.world.recorded_runs()
        for outcome in self.outcomes:
            count = runs.get(outcome.request_id, 0)
            if outcome.kind == "book" and count > 1:
                self.fail("once", f"{outcome}: ran {count} times")
            if outcome.kind == "book" and count and outcome.status in NOT_RUN:
                self.fail("not run", f"{outcome}: ran {count} times")
            if self.is_planned:
                self.check_unbroken(outcome, count)

    def check_unbroken(self, outcome, count):
        """Planned work alone breaks nothing off."""
        is_whole = outcome.status == 200 and outcome.is_whole
        is_refused = outcome.status in NOT_RUN and count == 0
        # A request may cross the close of a connection that rested; it has not run.
        is_crossing = outcome.status == 0 and count == 0
        is_unknown_route = outcome.route and outcome.status == 404
        if not (is_whole or is_refused or is_crossing or is_unknown_route or
                outcome.has_left):
            self.fail("planned", f"{outcome}: ran {count} times")

    def summary(self):
        whole = sum(each.status == 200 and each.is_whole for each in self.outcomes)
        left = sum(each.has_left for each in self.outcomes)
        refused = sum(each.status in NOT_RUN for each in self.outcomes)
        return (f"{len(self.outcomes)} requests, {whole} whole, {left} left, "
                f"{refused} refused")
