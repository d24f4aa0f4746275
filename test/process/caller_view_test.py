"""The check of what callers see: for each guard a record that is broken, and one that is
not."""

import unittest

from caller_view import EXIT_S, LATE_S, End, Exchange, Life, Link, Span, Trace, find_broken

SENT = 100.0


def answered(request_id="a-1", **changes):
    """A success of a call on a connection that stays open."""
    values = {"kind": "book", "router": "router", "expected": b"ran " + request_id.encode(),
              "runs_once": True, "connected_at": SENT - 5, "began_at": SENT, "sent_at": SENT,
              "last_bytes": 300, "ended_at": SENT + 0.1, "status": 200, "is_whole": True,
              "body": b"ran " + request_id.encode(),
              "fields": {"auburnlb-request-id": request_id,
                         "auburnlb-response-stamp": f"signed-{request_id}"}}
    return Exchange(request_id, **{**values, **changes})


def lost(**changes):
    """A whole request whose connection ends without a byte."""
    return answered(**{"status": 0, "is_whole": False, "body": b"", "fields": {},
                       "end": End.CLOSED, **changes})


def refused(status=503, **changes):
    return answered(**{"status": status, "body": b"", "fields": {"retry-after": "0.5"},
                       **changes})


def cut(**changes):
    """A stream that ends early and is not whole."""
    return answered(**{"kind": "stream", "expected": b"12345", "body": b"123",
                       "is_whole": False, "end": End.CLOSED, **changes})


def life(ended_at, was_killed=False, began_at=0.0):
    return Trace(lives=[Life("router", began_at, ended_at, was_killed)])


class CallerViewTest(unittest.TestCase):

    def assert_broken(self, what, exchange, trace=None):
        lines = find_broken([exchange], trace or Trace())
        self.assertEqual([line.split(":")[0].split(" b'")[0] for line in lines], [what])

    def assert_kept(self, exchange, trace=None):
        self.assertEqual(find_broken([exchange], trace or Trace()), [])

    def test_request_without_an_answer(self):
        self.assert_broken("no answer", lost())
        self.assert_broken("no answer", lost(end=End.RESET, is_kept=True))
        self.assert_broken("no answer", lost(end=End.SILENT))
        self.assert_kept(answered())
        self.assert_kept(refused())

    def test_connection_that_is_closed_within_its_promised_time(self):
        early = answered(early_close_at=SENT + 3)
        self.assert_broken("closed early", early)
        self.assert_broken("closed early", early, life(None))
        self.assert_broken("closed early", early, life(SENT + 4))
        self.assert_kept(early, life(SENT + 2))
        self.assert_kept(early, life(SENT + 2, was_killed=True))

    def test_request_that_was_not_sent_whole(self):
        self.assert_kept(lost(sent_at=None))

    def test_request_whose_caller_left(self):
        self.assert_kept(lost(end=End.LEFT))
        self.assert_kept(cut(end=End.LEFT))

    def test_request_at_a_process_that_was_killed(self):
        trace = life(SENT + 0.1, was_killed=True)
        self.assert_kept(lost(), trace)
        self.assert_kept(cut(), trace)
        self.assert_broken("no answer", lost(ended_at=SENT + 0.1 - 2 * EXIT_S), trace)
        self.assert_broken("no answer", lost(router="other"), trace)
        self.assert_broken("no answer", lost(), life(None))

    def test_request_at_a_later_process_at_the_same_port(self):
        trace = life(SENT - 10, was_killed=True)
        trace.lives.append(Life("router", SENT - 8))
        self.assert_broken("no answer", lost(), trace)
        self.assert_kept(lost(connected_at=SENT - 11), trace)

    def test_request_that_a_finished_stop_had_read(self):
        self.assert_broken("no answer", lost(), life(SENT + 0.1))
        self.assert_broken("cut", cut(), life(SENT + 0.1))
        self.assert_kept(lost(), life(SENT + EXIT_S / 2))
        self.assert_broken("no answer", lost(), life(SENT + 5))

    def test_request_under_way_when_a_stop_finished(self):
        trace = life(SENT + 0.05)
        trace.link = Link(delay_s=0.02)
        self.assert_kept(lost(), trace)
        trace = life(SENT + 0.2)
        trace.link = Link(delay_s=0.02)
        self.assert_broken("no answer", lost(ended_at=SENT + 0.2), trace)
        # 300 bytes take two pauses.
        trace.link = Link(delay_s=0.02, piece_bytes=100, pause_s=0.1)
        self.assert_kept(lost(ended_at=SENT + 0.2), trace)

    def test_request_whose_connection_no_router_took(self):
        trace = Trace(refused=[(4000, SENT - 5)])
        self.assert_kept(lost(caller_port=4000), trace)
        self.assert_broken("no answer", lost(caller_port=4001), trace)
        self.assert_broken("no answer", lost(caller_port=4000, connected_at=SENT - 2), trace)

    def test_stream_that_an_engine_broke_off(self):
        trace = Trace(engine_troubles=[Span(SENT - 1, SENT + 0.05)])
        self.assert_kept(cut(), trace)
        self.assert_broken("cut", cut(), Trace(engine_troubles=[Span(SENT - 2, SENT - 1)]))
        self.assert_broken("no answer", lost(kind="stream"), trace)
        self.assert_broken("cut", cut(kind="book"), trace)

    def test_early_end_that_looks_whole(self):
        self.assert_broken("body", cut(is_whole=True))
        self.assert_broken("body", answered(body=b""))

    def test_body_of_another(self):
        self.assert_broken("body", answered(body=b"ran a-2"))
        trace = Trace(engine_troubles=[Span(SENT, SENT + 1)])
        self.assert_broken("body", cut(body=b"124"), trace)

    def test_answer_of_another(self):
        self.assert_broken("id", answered(fields={
            "auburnlb-request-id": "a-2", "auburnlb-response-stamp": "signed-a-1"}))
        self.assert_broken("id", refused(fields={"auburnlb-request-id": "a-2",
                                                 "retry-after": "1"}))

    def test_success_without_the_engines_stamp(self):
        self.assert_broken("stamp", answered(fields={}))
        self.assert_broken("stamp", answered(fields={"auburnlb-response-stamp": "signed-a-2"}))

    def test_failure_with_an_engines_stamp(self):
        fields = {"retry-after": "1", "auburnlb-response-stamp": "signed-a-1"}
        self.assert_broken("stamp on a failure", refused(fields=fields))
        self.assert_kept(refused(500, fields=fields), Trace(may_engines_fail=True))
        self.assert_broken("status", refused(500, fields=fields))
        self.assert_broken("status", refused(500), Trace(may_engines_fail=True))

    def test_bytes_without_a_request(self):
        self.assert_broken("extra", answered(extra=b"HTTP/1.1 200 OK"))

    def test_bytes_that_are_no_answer(self):
        lines = find_broken([lost(end=End.MALFORMED)], Trace())
        self.assertTrue(any(line.startswith("bytes:") for line in lines), lines)

    def test_call_that_ran_twice(self):
        trace = Trace(runs={"a-1": 2})
        self.assert_broken("ran 2 times", answered(), trace)
        self.assert_kept(answered(runs_once=False), trace)
        self.assert_kept(answered(), Trace(runs={"a-1": 1}))

    def test_refusal_of_what_ran(self):
        trace = Trace(runs={"a-1": 1})
        for status in (408, 421, 429, 503):
            self.assert_broken("refused, and ran", refused(status), trace)
            self.assert_kept(refused(status))
        self.assert_broken("refused, and ran", refused(runs_once=False), trace)
        trace.may_refuse_repeatable_runs = True
        self.assert_kept(refused(runs_once=False), trace)
        self.assert_broken("refused, and ran", refused(), trace)

    def test_refusal_without_a_time_to_return(self):
        for status in (429, 503):
            self.assert_broken("retry-after", refused(status, fields={}))
            self.assert_broken("retry-after", refused(status, fields={"retry-after": "0"}))
        self.assert_kept(refused(408, fields={}))

    def test_failure_where_nothing_may_fail(self):
        self.assert_kept(refused(502, fields={}))
        self.assert_broken("failed", refused(502, fields={}), Trace(failure_times=[]))
        times = [Span(SENT + 0.05, SENT + 2)]
        self.assert_kept(refused(504, fields={}), Trace(failure_times=times))
        self.assert_broken("failed", refused(504, ended_at=SENT + 0.04),
                           Trace(failure_times=times))

    def test_status_that_nobody_expects(self):
        self.assert_broken("status", refused(404))
        self.assert_kept(refused(404, is_route_new=True))
        self.assert_broken("status", refused(429), Trace(refusals=(503,)))

    def test_request_held_past_its_timeout(self):
        late = SENT + 1 + LATE_S + 0.1
        self.assert_broken("late", answered(ended_at=late))
        self.assert_kept(answered(ended_at=late - 0.2))
        trouble = [Span(SENT + 0.5, SENT + 1)]
        self.assert_kept(answered(ended_at=late), Trace(router_troubles={"router": trouble}))
        self.assert_broken("late", answered(ended_at=late),
                           Trace(router_troubles={"other": trouble}))


if __name__ == "__main__":
    unittest.main()
