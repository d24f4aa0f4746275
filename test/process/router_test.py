"""The router against a stand-in of the users' platform, as separate processes."""

import http.server
import json
import os
import signal
import socket
import subprocess
import threading
import time
import unittest

from cluster import BUILD, request, wait_until
from platform_cluster import (DESK, EVENTS, HOST, KEY, Caller, PlatformCluster, calm,
                              expected_events, in_background)


class RouterTest(unittest.TestCase):

    def assert_whole(self, answer):
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.text, expected_events())

    def assert_not_run(self, system, answer):
        self.assertEqual(answer.status, 503)
        self.assertNotIn(answer.request_id, system.runs()["runs"])

    def test_calm_minute_of_streams_and_calls(self):
        with calm(routers=2) as system:
            for index in range(6):
                router = system.routers[index % 2]
                self.assert_whole(system.stream(router, f"stream-{index}"))
                answer = system.book(router, f"book-{index}")
                self.assertEqual((answer.status, answer.text), (200, f"ran book-{index}"))
                self.assertIn("auburnlb-response-stamp", answer.headers)
                self.assertEqual(system.look(router, f"look-{index}").status, 200)
            runs = system.runs()["runs"]
            self.assertTrue(all(runs[f"book-{index}"] == 1 for index in range(6)))

    def kill_during_stream(self, position):
        """Kills the engine at a position of the path in the middle of a stream."""
        with calm() as system:
            killed = []

            def kill(caller):
                if killed or caller.text.count("\n\n") < EVENTS // 3:
                    return
                running = [name for name, engine in system.engines.items()
                           if caller.request_id in json.loads(
                               request(engine.port, "GET", "/fake/runs")[2])["runs"]]
                first = running[0]
                zone = first.rsplit("-", 1)[0]
                others = [name for name in system.engines
                          if name.startswith(zone) and name != first]
                victim = first if position == 0 else others[0]
                killed.append(victim)
                system.engines[victim].kill()
            answer = system.stream(system.routers[0], "stream-1", on_piece=kill)
            self.assertTrue(killed)
            self.assert_whole(answer)

    def test_stream_survives_loss_of_first_engine(self):
        self.kill_during_stream(0)

    def test_stream_survives_loss_of_later_engine(self):
        self.kill_during_stream(1)

    def test_stream_goes_on_after_a_half_event(self):
        with calm() as system:
            for name in ("engine-dc1-0", "engine-dc1-1"):
                system.fault(name, "half")
            self.assert_whole(system.stream(system.routers[0], "stream-1"))

    def test_stream_without_framing_is_passed_whole(self):
        with calm() as system:
            for name in system.engines:
                system.fault(name, "unframed")
            self.assert_whole(system.stream(system.routers[0], "stream-1"))

    def test_stream_without_framing_that_ends_within_an_event_goes_on_elsewhere(self):
        with calm() as system:
            for name in ("engine-dc1-0", "engine-dc1-1"):
                system.fault(name, "torn")
            self.assert_whole(system.stream(system.routers[0], "stream-1"))

    def test_caller_resumes_after_an_event(self):
        with calm() as system:
            answer = system.stream(system.routers[0], "stream-1", {"Last-Event-Id": "30"})
            self.assertEqual(answer.text, expected_events(31))

    def test_lost_answer_of_a_booking_is_not_repeated(self):
        with calm() as system:
            for name in ("desk-0", "desk-1"):
                system.fault(name, "lose")
            answer = system.book(system.routers[0], "book-1")
            self.assertEqual(answer.status, 502)
            self.assertEqual(system.runs()["runs"]["book-1"], 1)

    def test_refused_booking_is_told_as_not_run(self):
        with calm() as system:
            for name in ("desk-0", "desk-1"):
                system.fault(name, "shed")
            answer = system.book(system.routers[0], "book-1")
            self.assert_not_run(system, answer)
            self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_mute_service_is_left_for_reads_and_times_out_for_bookings(self):
        with calm() as system:
            system.fault("desk-0", "mute")
            self.assertEqual(system.look(system.routers[0], "look-1").status, 200)
            system.fault("desk-1", "mute")
            started = time.monotonic()
            answer = system.book(system.routers[0], "book-1")
            self.assertEqual(answer.status, 504)
            # The route's timeout is a second; the bound says that it is kept.
            self.assertGreaterEqual(time.monotonic() - started, 0.9)
            self.assertLessEqual(system.runs()["runs"].get("book-1", 0), 1)

    def test_answers_of_others_reach_no_caller(self):
        with calm() as system:
            for fault in ("foreign", "extra", "foreign"):
                for name in ("desk-0", "desk-1"):
                    system.fault(name, fault)
                for index in range(4):
                    request_id = f"book-{fault}-{index}-{time.monotonic_ns()}"
                    answer = system.book(system.routers[0], request_id)
                    if answer.status == 200:
                        self.assertEqual(answer.text, f"ran {request_id}")

    def test_answer_without_length_is_passed_whole(self):
        with calm() as system:
            for name in ("desk-0", "desk-1"):
                system.fault(name, "unframed")
            answer = system.look(system.routers[0], "look-1")
            self.assertEqual((answer.status, answer.text), (200, "ran look-1"))

    def test_errors_of_engines_are_passed_on_unchanged(self):
        with calm() as system:
            for name in ("desk-0", "desk-1"):
                system.fault(name, "error")
            answer = system.book(system.routers[0], "book-1")
            self.assertEqual((answer.status, answer.text), (500, "ran book-1"))
            self.assertIn("auburnlb-response-stamp", answer.headers)
            self.assertEqual(system.runs()["runs"]["book-1"], 1)

    def test_caller_who_leaves_frees_the_engine(self):
        with calm() as system:
            with socket.create_connection(("127.0.0.1", system.routers[0].callers)) as caller:
                caller.sendall((f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\n"
                                f"Authorization: Token {KEY}\r\n"
                                "Auburnlb-Request-Id: left-1\r\n"
                                "Auburnlb-Token-Counts: 100,40\r\n"
                                "Content-Length: 0\r\n\r\n").encode())
                self.assertTrue(caller.recv(4096))
            wait_until(lambda: system.runs()["cancelled"].get("left-1"), "the run is cancelled")

    def test_configuration_is_followed_and_never_goes_back(self):
        with calm(routers=2) as system:
            extra = {"name": "more", "host": HOST, "path-prefix": "/more/", "kind": "safe",
                     "timeout-ms": 1000, "service": DESK, "max-attempts": 1, "public": True}
            router = system.routers[0]
            self.assertEqual(Caller(router, "GET", "/more/x", "more-0").status, 404)
            system.configure(routes=[extra])
            for each in system.routers:
                wait_until(lambda each=each:
                           Caller(each, "GET", "/more/x", "more-1").status == 200,
                           "the new route is served")
            system.configure(keys=("another-key",))
            wait_until(lambda: system.look(router, "look-1").status == 401, "the key is revoked")

    def test_unreadable_configuration_changes_nothing(self):
        with calm() as system:
            system.version += 1
            status, _, _ = request(system.store.port, "PUT", "/objects/config/main",
                                   {"metadata": {"name": "main"},
                                    "spec": {"version": system.version, "routes": "none"}})
            self.assertEqual(status, 200)
            wait_until(lambda: "E0204" in system.routers[0].log(), "the error is logged")
            self.assertEqual(system.look(system.routers[0], "look-1").status, 200)

    def test_router_that_the_store_turns_away_learns_from_another(self):
        with calm() as system:
            system.store_mode("busy")
            newcomer = system.add_router("router-new")
            system.wait_served(newcomer)
            system.store_mode("up")

    def watches_store(self, router):
        """Whether the router follows the store itself."""
        text = request(router.control, "GET", "/metrics")[2]
        return "auburnlb_router_watches_store 1" in text

    def test_few_routers_watch_the_store_for_the_others(self):
        with calm(routers=5, zones=("dc1",)) as system:
            # The one that places layers may watch besides the two.
            wait_until(lambda: sum(map(self.watches_store, system.routers)) in (2, 3),
                       "few routers watch")
            extra = {"name": "more", "host": HOST, "path-prefix": "/more/", "kind": "safe",
                     "timeout-ms": 1000, "service": DESK, "max-attempts": 1, "public": True}
            system.configure(routes=[extra])
            system.add_engine("desk-new", service=DESK, zone="dc1")
            for name in ("desk-0", "desk-1"):
                request(system.store.port, "DELETE", f"/objects/servers/{name}")
                system.engines[name].kill()
            for router in system.routers:
                wait_until(lambda router=router:
                           Caller(router, "GET", "/more/x", "more-1").status == 200,
                           "the new route is served by the new endpoint")
            watching = [each for each in system.routers if self.watches_store(each)]
            left = [each for each in system.routers if each not in watching]
            for router in watching:
                router.kill()
            system.configure(keys=("another-key",))
            for router in left:
                wait_until(lambda router=router: system.look(router, "look-1").status == 401,
                           "the change reaches those that are left")
            self.assertTrue(any(map(self.watches_store, left)))

    def test_questions_that_no_router_asks_are_refused(self):
        with calm() as system:
            router = system.routers[0]
            for body in ("no json", "[]", '{"from": 1}', '{"data_centre": []}',
                         '{"version": "x"}', '{"peers": {}}', '{"endpoint_revision": -1}'):
                status, _, text = request(router.control, "POST", "/exchange", body)
                self.assertIn(status, (200, 400), body)
                self.assertTrue(text)
            self.assertEqual(system.look(router, "look-1").status, 200)

    def test_answers_that_no_router_gives_are_logged(self):
        class Foreign(http.server.BaseHTTPRequestHandler):
            def do_POST(self):
                text = b'{"data_centre": 3, "peers": [1], "loads": 2, "endpoints": []}'
                self.send_response(200)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def log_message(self, *_):
                pass
        with http.server.HTTPServer(("127.0.0.1", 0), Foreign) as foreign:
            threading.Thread(target=foreign.serve_forever, daemon=True).start()
            with PlatformCluster() as system:
                system.add_engine("desk-0", service=DESK)
                system.seeds.append(f"127.0.0.1:{foreign.server_address[1]}")
                router = system.add_router()
                wait_until(lambda: '"E0305"' in router.log(), "the answer is logged")
                wait_until(lambda: system.look(router, "look-1").status == 200,
                           "the router serves")
            foreign.shutdown()

    def test_outage_of_the_store_stops_nothing(self):
        for mode in ("busy", "many", "silent", "reset"):
            with self.subTest(mode=mode), calm() as system:
                system.store_mode(mode)
                wait_until(lambda: "E0202" in system.routers[0].log(), "the outage is noticed")
                self.assert_whole(system.stream(system.routers[0], "stream-1"))
                self.assertEqual(system.book(system.routers[0], "book-1").status, 200)
                system.store_mode("up")
                wait_until(lambda: system.routers[0].log().count('"E0203"') >= 3,
                           "the return is noticed")

    def test_history_that_is_gone_is_listed_again(self):
        with calm() as system:
            request(system.store.port, "POST", "/fake/compact", "")
            system.configure(keys=("another-key",))
            wait_until(lambda: system.look(system.routers[0], "look-1").status == 401,
                       "the change after the gap is in force")

    def test_router_without_configuration_is_not_ready_and_runs_nothing(self):
        with PlatformCluster() as system:
            system.store_mode("busy")
            router = system.add_router()
            wait_until(lambda: system.ready_status(router) == 503, "the router answers")
            self.assertEqual(system.book(router, "book-1").status, 503)

    def test_planned_stop_finishes_what_was_begun(self):
        with calm() as system:
            router = system.routers[0]
            stream = in_background(system.stream, router, "stream-1")
            wait_until(lambda: system.runs()["runs"].get("stream-1"), "the stream runs")
            router.send(signal.SIGTERM)
            wait_until(lambda: not system.is_ready(router), "the router is not ready")
            self.assert_whole(system.stream(router, "stream-2"))
            self.assert_whole(stream.result())
            self.assertEqual(router.child.wait(20), 0)

    def test_stopping_router_serves_late_streams_that_can_end(self):
        with calm() as system:
            router = system.routers[0]
            models = [name for name in system.engines if name.startswith("engine")]
            for name in models:
                system.fault(name, "mute")
            # A stream without an answer keeps the process until its limit.
            held = in_background(system.stream, router, "held-1")
            wait_until(lambda: system.runs()["runs"].get("held-1"), "the stream is held")
            router.send(signal.SIGTERM)
            late = time.monotonic() + 3.2
            wait_until(lambda: time.monotonic() > late, "the balancer has turned away")
            for name in models:
                system.fault(name, "none")
            self.assert_whole(system.stream(router, "late-1"))
            long = system.stream(router, "late-2", {"Auburnlb-Token-Counts": "100,1000000"})
            self.assert_not_run(system, long)
            self.assertGreater(float(long.headers["retry-after"]), 0)
            held.result()

    def test_request_that_a_paused_stopping_router_has_not_read_is_answered(self):
        with calm() as system:
            router = system.routers[0]
            kept = http.client.HTTPConnection("127.0.0.1", router.callers, timeout=5)

            def ask(request_id):
                kept.request("GET", "/look/x", headers={
                    "Host": HOST, "Authorization": f"Token {KEY}",
                    "Auburnlb-Request-Id": request_id, "Auburnlb-Deadline-Ms": "3000"})
            ask("kept-1")
            self.assertEqual(kept.getresponse().read(), b"ran kept-1")
            router.send(signal.SIGTERM)
            time.sleep(2.7)
            router.send(signal.SIGSTOP)
            time.sleep(0.1)
            ask("kept-2")
            # Past the time from which the router closes idle connections.
            time.sleep(0.5)
            router.send(signal.SIGCONT)
            self.assertEqual(kept.getresponse().read(), b"ran kept-2")
            self.assertEqual(router.child.wait(20), 0)

    def test_all_routers_killed_find_the_placement_again(self):
        with calm(routers=2) as system:
            for router in system.routers:
                router.kill()
            again = system.add_router("router-again")
            system.wait_served(again)
            orders = [line for line in again.log().splitlines() if '"E0702"' in line]
            self.assertEqual(orders, [])

    def test_holder_of_the_placement_is_replaced(self):
        with calm(routers=2) as system:
            holder = next(each for each in system.routers if '"E0700"' in each.log())
            other = next(each for each in system.routers if each is not holder)
            holder.kill()
            wait_until(lambda: '"E0700"' in other.log(), "the other router takes the duty")
            system.engines["engine-dc2-0"].kill()
            request(system.store.port, "DELETE", "/objects/servers/engine-dc2-0")
            system.add_engine("engine-dc2-2", zone="dc2")
            wait_until(lambda: '"engine-dc2-2"' in "".join(
                line for line in other.log().splitlines() if '"E0702"' in line),
                "the new engine gets layers")

    def test_bad_requests_are_refused_with_a_reason(self):
        with calm() as system:
            router = system.routers[0]
            self.assertEqual(Caller(router, "GET", "/none/x", "bad-1").status, 404)
            self.assertEqual(system.look(router, "bad-2", {"Authorization": "Token x"}).status,
                             401)
            self.assertEqual(system.look(router, "", {}).status, 400)
            self.assertEqual(system.look(router, "bad-3", {"Auburnlb-Deadline-Ms": "x"}).status,
                             400)
            self.assertEqual(Caller(router, "POST", "/book/x", "bad-4",
                                    body="x" * 70_000).status, 413)
            self.assertEqual(system.look(router, "bad-5", {"X-Long": "x" * 8_000}).status, 431)
            runs = system.runs()["runs"]
            self.assertFalse([name for name in runs if name.startswith("bad")])

    def raw(self, router, text, limit_s=5):
        """Sends bytes and gives all that comes back."""
        with socket.create_connection(("127.0.0.1", router.callers)) as caller:
            caller.settimeout(limit_s)
            caller.sendall(text.encode())
            answer = b""
            try:
                while piece := caller.recv(4096):
                    answer += piece
            except socket.timeout:
                pass
            return answer.decode()

    def test_smuggled_and_unfinished_requests_run_nothing(self):
        with calm() as system:
            router = system.routers[0]
            head = (f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
                    "Auburnlb-Request-Id: ")
            both = head + ("two-1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "0\r\n\r\n" + head + "two-2\r\nContent-Length: 0\r\n\r\n")
            self.assertTrue(self.raw(router, both).startswith("HTTP/1.1 400"))
            lengths = head + "three-1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"
            self.assertTrue(self.raw(router, lengths).startswith("HTTP/1.1 400"))
            self.assertTrue(self.raw(router, head + "slow").startswith("HTTP/1.1 408"))
            self.assertEqual([name for name in system.runs()["runs"]
                              if name[:3] in ("two", "thr", "slo")], [])

    def test_pipelined_requests_are_answered_in_order(self):
        with calm() as system:
            one = (f"GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
                   "Auburnlb-Request-Id: pipe-%d\r\n%s\r\n")
            text = self.raw(system.routers[0],
                            one % (1, "") + one % (2, "Connection: close\r\n"))
            self.assertLess(text.index("ran pipe-1"), text.index("ran pipe-2"))

    def test_settings_are_checked_and_reloaded(self):
        with calm() as system:
            router = system.routers[0]
            with open(router.settings, encoding="utf-8") as file:
                values = json.load(file)
            values["router"]["retry_ratio"] = "many"
            with open(router.settings, "w", encoding="utf-8") as file:
                json.dump(values, file)
            wait_until(lambda: '"E0103"' in router.log(), "the error is logged")
            self.assertIn("router.retry_ratio", router.log())
            self.assertEqual(system.look(router, "look-1").status, 200)
            values["router"]["retry_ratio"] = 0.3
            with open(router.settings, "w", encoding="utf-8") as file:
                json.dump(values, file)
            wait_until(lambda: '"E0106"' in router.log(), "the settings are reloaded")


class ExplainTest(unittest.TestCase):
    """From a failed request's id to its cause, by the command alone."""

    def explain(self, system, request_id):
        flush = time.monotonic() + 0.2
        wait_until(lambda: time.monotonic() > flush, "the log is written")
        done = subprocess.run(
            [os.path.join(BUILD, "auburnlb"), "explain", request_id, "--json",
             *[router.log_path for router in system.routers]],
            capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 0, done.stderr)
        return json.loads(done.stdout)

    def test_stream_that_went_on_elsewhere(self):
        with calm() as system:
            for name in ("engine-dc1-0", "engine-dc1-1"):
                system.fault(name, "half")
            system.stream(system.routers[0], "stream-1")
            lines = self.explain(system, "stream-1")
            # Each engine of the data centre that is tried breaks off.
            *attempts, ended = lines
            interrupted, resumed = attempts[::2], attempts[1::2]
            self.assertTrue(resumed)
            self.assertEqual([line["name"] for line in interrupted],
                             ["run_interrupted"] * len(resumed))
            self.assertEqual({(line["name"], line["reason"]) for line in resumed},
                             {("stream_resumed", "broken")})
            self.assertEqual((ended["name"], ended["outcome"]),
                             ("request_ended", "complete"))
            self.assertEqual(int(ended["sends"]), len(resumed) + 1)

    def test_booking_that_ended_unknown(self):
        with calm() as system:
            for name in ("desk-0", "desk-1"):
                system.fault(name, "lose")
            system.book(system.routers[0], "book-1")
            lines = self.explain(system, "book-1")
            self.assertEqual(lines[-1]["outcome"], "call_outcome_unknown")
            self.assertEqual(lines[-1]["sends"], "1")
            self.assertIn(lines[-1]["peer"], ("desk-0", "desk-1"))

    def test_refusal_while_no_engine_holds_layers(self):
        with PlatformCluster() as system:
            system.add_engine("desk-0", service=DESK)
            router = system.add_router()
            system.wait_ready(router)
            answer = system.stream(router, "stream-1")
            self.assertEqual(answer.status, 503)
            lines = self.explain(system, "stream-1")
            self.assertEqual((lines[-1]["outcome"], lines[-1]["sends"]), ("overloaded", "0"))


if __name__ == "__main__":
    unittest.main()
