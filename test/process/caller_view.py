"""What callers see of requests, and the one check of it: what a router read whole gets a
whole answer or a true refusal. A pure function over records; it asks no process."""

import dataclasses
import enum

# Each says that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# Answers that say nothing about whether the request ran.
UNKNOWN = (502, 504)
STAMP = "auburnlb-response-stamp"
REQUEST_ID = "auburnlb-request-id"
# From a process's last read to its end, as a test on the same machine notes it.
EXIT_S = 0.05
# What a router has beyond a request's timeout, by the users' bound, and what a busy
# machine may add.
LATE_S = 0.5 + 3.0


class End(enum.Enum):
    """How an exchange ended for its caller."""
    OPEN = "the connection is open"
    CLOSED = "closed"
    RESET = "reset"
    SILENT = "no end within the caller's patience"
    LEFT = "the caller left"
    # The bytes are no HTTP.
    MALFORMED = "no answer in the protocol"


@dataclasses.dataclass
class Exchange:
    """One request as its caller saw it; times are of the monotonic clock."""
    request_id: str
    kind: str
    router: str
    # The body of a success.
    expected: bytes = b""
    timeout_s: float = 1.0
    # Whether it must not run twice.
    runs_once: bool = False
    # Whether its router may not know the route yet.
    is_route_new: bool = False
    is_kept: bool = False
    caller_port: int = 0
    connected_at: float = 0.0
    began_at: float = 0.0
    # When the last byte was handed over; None if the request was never sent whole.
    sent_at: float | None = None
    # How many of its bytes were handed over then.
    last_bytes: int = 0
    ended_at: float = 0.0
    status: int = 0
    fields: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    end: End = End.OPEN
    # What came behind the answer, with no request waiting.
    extra: bytes = b""
    # When its connection was found closed although the answer had promised it for longer.
    early_close_at: float | None = None

    def __str__(self):
        return (f"{self.request_id} at {self.router}: status {self.status}, "
                f"{len(self.body)} bytes, whole {self.is_whole}, {self.end.value}, "
                f"{'kept' if self.is_kept else 'new'} connection, "
                f"{self.ended_at - self.began_at:.3f} s")


@dataclasses.dataclass
class Life:
    """One process of a router, by the time at which it really ended."""
    router: str
    began_at: float
    ended_at: float | None = None
    # False for one that finished its stop; such a process owes what it had read.
    was_killed: bool = False


@dataclasses.dataclass
class Span:
    """A time in which somebody was harmed or stopped."""
    began_at: float
    ended_at: float

    def overlaps(self, exchange):
        return self.began_at <= exchange.ended_at and exchange.began_at <= self.ended_at


@dataclasses.dataclass
class Link:
    """The way between callers and routers."""
    delay_s: float = 0.0
    piece_bytes: int = 0
    pause_s: float = 0.0

    def slack_s(self):
        return max(2 * self.delay_s, EXIT_S)

    def arrived_at(self, exchange):
        """When a request's last byte came to its router, at the earliest."""
        pauses = (exchange.last_bytes - 1) // self.piece_bytes if self.piece_bytes else 0
        return exchange.sent_at + self.delay_s + pauses * self.pause_s


@dataclasses.dataclass
class Trace:
    """What is known of processes besides what callers saw."""
    runs: dict = dataclasses.field(default_factory=dict)
    lives: list = dataclasses.field(default_factory=list)
    link: Link = dataclasses.field(default_factory=Link)
    # Port and time of each caller whose connection no router took.
    refused: list = dataclasses.field(default_factory=list)
    # Engines that ended, lost or spoilt what they wrote; planned work is none.
    engine_troubles: list = dataclasses.field(default_factory=list)
    # Pauses and harmed links of a router, by its name: it may be late.
    router_troubles: dict = dataclasses.field(default_factory=dict)
    # Whether a call that is to be repeated may have run before it was refused.
    may_refuse_repeatable_runs: bool = False
    # Refusals that there may be a reason for.
    refusals: tuple = NOT_RUN
    # Whether engines answer 500 themselves.
    may_engines_fail: bool = False
    # Times in which 502 and 504 may be answers, if not always; planned work alone needs
    # none.
    failure_times: list | None = None

    def life_of(self, exchange):
        """The process that took the exchange's connection."""
        earlier = [life for life in self.lives if life.router == exchange.router and
                   life.began_at <= exchange.connected_at]
        return max(earlier, key=lambda life: life.began_at, default=None)


def is_never_taken(exchange, trace):
    """No router took the connection, so none read the request."""
    return any(port == exchange.caller_port and
               exchange.connected_at - EXIT_S <= at <= exchange.ended_at
               for port, at in trace.refused)


def has_ended_with_process(exchange, trace):
    """The connection ended when its router's process did, and not before. A stop that
    came to its end excuses only what arrived after it."""
    life = trace.life_of(exchange)
    if life is None or life.ended_at is None:
        return False
    process_end = life.ended_at - trace.link.slack_s()
    if exchange.ended_at < process_end:
        return False
    if life.was_killed:
        return True
    return exchange.status == 0 and trace.link.arrived_at(exchange) >= process_end


def is_broken_off_by_engine(exchange, trace):
    """A stream that had begun at an engine, which broke it off itself."""
    return exchange.kind == "stream" and exchange.status == 200 and \
        any(trouble.overlaps(exchange) for trouble in trace.engine_troubles)


def check_end(exchange, trace):
    """Neither an answer nor a refusal is broken, up to the named exceptions."""
    if exchange.is_whole or exchange.end is End.LEFT or exchange.sent_at is None:
        return
    if exchange.status == 0 and is_never_taken(exchange, trace):
        return
    if has_ended_with_process(exchange, trace) or is_broken_off_by_engine(exchange, trace):
        return
    yield "no answer" if exchange.status == 0 else "cut"


def check_bytes(exchange, _trace):
    """The whole body of the request's own answer, or the beginning of it."""
    if exchange.end is End.MALFORMED:
        yield "bytes"
    if exchange.extra:
        yield f"extra {exchange.extra[:80]!r}"
    if exchange.status == 0:
        return
    if exchange.fields.get(REQUEST_ID, exchange.request_id) != exchange.request_id:
        yield "id"
    if exchange.status != 200:
        return
    is_right = exchange.body == exchange.expected if exchange.is_whole \
        else exchange.expected.startswith(exchange.body)
    if not is_right:
        yield f"body {exchange.body[-80:]!r}"
    if exchange.fields.get(STAMP) != f"signed-{exchange.request_id}":
        yield "stamp"


def check_promise(exchange, trace):
    """A connection that a caller may still use is closed with its process alone."""
    if exchange.early_close_at is None:
        return
    life = trace.life_of(exchange)
    has_ended = life is not None and life.ended_at is not None and \
        life.ended_at - trace.link.slack_s() <= exchange.early_close_at
    if not has_ended:
        yield "closed early"


def check_status(exchange, trace):
    stamped = exchange.fields.get(STAMP)
    if stamped and exchange.status not in (200, 500):
        yield "stamp on a failure"
    if exchange.status in (429, 503) and not is_positive(exchange.fields.get("retry-after")):
        yield "retry-after"
    if exchange.status in UNKNOWN and trace.failure_times is not None and \
            not any(time.overlaps(exchange) for time in trace.failure_times):
        yield "failed"
    is_engines_own = exchange.status == 500 and stamped and trace.may_engines_fail
    is_unknown_route = exchange.status == 404 and exchange.is_route_new
    if not (is_engines_own or is_unknown_route or
            exchange.status in (0, 200) + UNKNOWN + trace.refusals):
        yield "status"


def is_positive(text):
    try:
        return float(text) > 0
    except (TypeError, ValueError):
        return False


def check_runs(exchange, trace):
    """Once at most, and never after a refusal."""
    runs = trace.runs.get(exchange.request_id, 0)
    if exchange.runs_once and runs > 1:
        yield f"ran {runs} times"
    is_promise = exchange.runs_once or not trace.may_refuse_repeatable_runs
    if exchange.status in NOT_RUN and runs and is_promise:
        yield "refused, and ran"


def check_time(exchange, trace):
    """Held far past its timeout, by a router that nothing held up."""
    if exchange.ended_at - exchange.began_at <= exchange.timeout_s + LATE_S:
        return
    if not any(trouble.overlaps(exchange)
               for trouble in trace.router_troubles.get(exchange.router, ())):
        yield "late"


CHECKS = (check_end, check_bytes, check_promise, check_status, check_runs, check_time)


def find_broken(exchanges, trace):
    """A line for each promise that an exchange shows broken."""
    return [f"{what}: {exchange}, ran {trace.runs.get(exchange.request_id, 0)} times"
            for exchange in exchanges for check in CHECKS for what in check(exchange, trace)]
