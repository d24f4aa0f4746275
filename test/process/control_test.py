"""Configuration from acceptance to force, between real processes."""

import concurrent.futures
import json
import os
import re
import signal
import socket
import subprocess
import unittest

import cluster

SERVICE = "counter-app"
QUESTIONNAIRE = os.path.join(cluster.SOURCE, "examples", "kalaiwala",
                             f"{SERVICE}.json")
IN_FORCE = re.compile(r"E0200 configuration_in_force .*version=(\d+)")
FIELD = "default_deadline_ms"
SUCCESS, FAILURE, USAGE, CONFLICT = range(4)


def command_line(entry, *arguments):
    """Runs the operators' program against an entry."""
    environment = dict(os.environ, AUBURNLB_TOKEN=cluster.TOKEN,
                       AUBURNLB_AUTHOR="operator",
                       AUBURNLB_ADMIN=f"http://127.0.0.1:{entry.admin}")
    return subprocess.run(
        [os.path.join(cluster.BUILD, "auburnlb"), *arguments],
        env=environment, capture_output=True, text=True, check=False,
        timeout=cluster.WAIT_LIMIT_S)


def amend(entry, value, expected):
    return command_line(entry, "amend", SERVICE, f"{FIELD}={value}", "--yes",
                        "--comment", f"value {value}", "--expect",
                        str(expected))


def run_daemon(program, *arguments):
    """A daemon that is expected to end by itself."""
    return subprocess.run([os.path.join(cluster.BUILD, program), *arguments],
                          capture_output=True, text=True, check=False,
                          timeout=cluster.WAIT_LIMIT_S)


def versions_in_log(process):
    return [int(version) for version in IN_FORCE.findall(process.log())]


class ControlCluster(cluster.Cluster):
    """Two entries with a first configuration and, mostly, a plain endpoint."""

    def __init__(self, with_endpoint=True):
        super().__init__()
        try:
            if with_endpoint:
                service = self.start_fake("plain_service", [])
                self.companion = self.add_companion("desk", SERVICE, "plain",
                                                    service.port)
            self.first = self.add_entry("entry0")
            self.second = self.add_entry("entry1")
            applied = command_line(self.first, "apply", QUESTIONNAIRE, "--yes",
                                   "--comment", "start")
            assert applied.returncode == SUCCESS, applied.stderr
            for entry in (self.first, self.second):
                self.wait_for_service(entry, SERVICE, int(with_endpoint))
        except BaseException:
            self.__exit__(RuntimeError, None, None)
            raise

    def version(self, entry):
        known = {each["name"]: each["version"]
                 for each in self.status(entry)["services"]}
        return known.get(SERVICE, 0)

    def wait_for_version(self, version, *entries):
        for entry in entries:
            cluster.wait_until(lambda: self.version(entry) >= version,
                               f"version {version} at {entry.name}")

    def value_in_force(self, entry):
        status, body = self.admin(entry, "GET", f"/services/{SERVICE}")
        assert status == 200, body
        return body


class ControlTest(unittest.TestCase):

    def test_one_of_two_amendments_at_once_wins(self):
        with ControlCluster() as system:
            before = system.version(system.first)
            values = {8100: system.first, 8200: system.second}
            # Both are prepared before either is written.
            system.platform_control("faults", {"hold_writes_ms": 300})
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                done = list(pool.map(
                    lambda item: amend(item[1], item[0], before),
                    values.items()))
            system.platform_control("faults", {"hold_writes_ms": 0})
            codes = [each.returncode for each in done]
            self.assertEqual(sorted(codes), [SUCCESS, CONFLICT],
                             [each.stderr for each in done])
            loser = done[codes.index(CONFLICT)]
            winner = done[codes.index(SUCCESS)]
            newer = int(re.search(r"version (\d+)", winner.stdout).group(1))
            self.assertGreater(newer, before)
            self.assertRegex(loser.stderr, rf"version {newer}\b")
            value = list(values)[codes.index(SUCCESS)]
            for entry in (system.first, system.second):
                system.wait_for_version(newer, entry)
                self.assertEqual(system.version(entry), newer)
                self.assertIn(str(value),
                              json.dumps(system.value_in_force(entry)))

    def check_lost_acceptance(self, offer):
        # No companion runs, so that the lost answer is not one of its writes,
        # and a first version keeps no replaced content: the one write whose
        # answer is lost is the accepting one.
        with cluster.Cluster() as system:
            entries = [system.add_entry(f"entry{index}") for index in range(2)]
            system.platform_control("faults", {"lose_answers": 1})
            offer(system, entries[0])
            for entry in entries:
                system.wait_for_service(entry, SERVICE, 0)
            self.assertEqual(self.history_length(system, entries[0]), 1)
            self.assertEqual(self.calls(system.platform)["PUT services"], 1)

    def test_a_lost_accepting_answer_is_settled_within_one_request(self):
        def offer(system, entry):
            with open(QUESTIONNAIRE, encoding="utf-8") as file:
                answers = json.load(file)
            status, body = system.admin(
                entry, "PUT", f"/services/{SERVICE}",
                {"questionnaire": answers, "change_id": "lost-answer",
                 "comment": "start", "expected_version": 0})
            self.assertEqual((status, body.get("version")), (200, 1), body)
        self.check_lost_acceptance(offer)

    def test_a_lost_accepting_answer_is_hidden_by_the_command_line(self):
        def offer(_, entry):
            done = command_line(entry, "apply", QUESTIONNAIRE, "--yes",
                                "--comment", "start")
            self.assertEqual(done.returncode, SUCCESS, done.stderr)
            self.assertRegex(done.stdout, r"version 1\b")
        self.check_lost_acceptance(offer)

    def test_a_lost_answer_to_an_amendment_is_settled_by_reading(self):
        with ControlCluster(with_endpoint=False) as system:
            before = system.version(system.first)
            kept = self.calls(system.platform).get("PUT service_history", 0)
            written = self.calls(system.platform)["PUT services"]
            history = self.history_length(system, system.first)
            body = {"amendments": {FIELD: 8300}, "change_id": "lost-answer",
                    "comment": "amend", "expected_version": before}
            # The write of the replaced content is held; once it is there, the
            # next write, which accepts the amendment, loses its answer.
            system.platform_control("faults", {"hold_writes_ms": 1000})
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                offered = pool.submit(system.admin, system.first, "PATCH",
                                      f"/services/{SERVICE}", body)
                cluster.wait_until(
                    lambda: self.calls(system.platform).get(
                        "PUT service_history", 0) > kept,
                    "the replaced content is on its way")
                system.platform_control("faults", {"lose_answers": 1})
                status, answer = offered.result()
            self.assertEqual(status, 200, answer)
            system.wait_for_version(answer["version"], system.first,
                                    system.second)
            calls = self.calls(system.platform)
            self.assertEqual(calls["PUT services"], written + 1)
            self.assertEqual(calls["PUT service_history"], kept + 1)
            self.assertEqual(self.history_length(system, system.first),
                             history + 1)
            self.assertEqual(system.version(system.second), answer["version"])

    @staticmethod
    def history_length(system, entry):
        _, body = system.admin(entry, "GET",
                               f"/services/{SERVICE}/history")
        return len(body["versions"])

    def test_a_newcomer_learns_from_its_peer_without_the_object_api(self):
        with ControlCluster() as system:
            wanted = system.version(system.first)
            # The newcomer's platform gives the host list and no objects, and
            # then nothing at all: only a peer can tell it the configuration.
            empty = system.start_fake("platform", [], name="platform-empty")
            cluster.request(empty.port, "POST", "/fake/hosts", system.hosts)
            system.platform_control("faults", {"down": True})
            values = system.node("entry2", "dc1")
            values["platform"]["url"] = f"http://127.0.0.1:{empty.port}"
            values["admin"] = {"enabled": True, "token": cluster.TOKEN}
            newcomer = system.start_daemon("auburnlb-entry", "entry2", values)
            cluster.wait_until(lambda: self.calls(empty).get("GET hosts", 0),
                               "the newcomer has the host list")
            cluster.request(empty.port, "POST", "/fake/faults", {"down": True})
            system.wait_for_version(wanted, newcomer)
            cluster.wait_until(lambda: self.readiness(newcomer) == 200,
                               "the newcomer is ready")

    @staticmethod
    def calls(platform):
        _, _, text = cluster.request(platform.port, "GET", "/fake/calls")
        return json.loads(text)["calls"]

    @staticmethod
    def readiness(entry):
        return cluster.request(entry.callers, "GET", "/readyz")[0]

    def test_versions_at_a_companion_only_grow(self):
        with ControlCluster() as system:
            version = system.version(system.first)
            for value in (8400, 8500):
                done = amend(system.first, value, version)
                self.assertEqual(done.returncode, SUCCESS, done.stderr)
                version = int(
                    re.search(r"version (\d+)", done.stdout).group(1))
                self.wait_for_companion(system, version)
            # An entry that was paused wakes with the older version.
            system.second.send(signal.SIGSTOP)
            done = amend(system.first, 8550, version)
            self.assertEqual(done.returncode, SUCCESS, done.stderr)
            version = int(re.search(r"version (\d+)", done.stdout).group(1))
            self.wait_for_companion(system, version)
            system.second.send(signal.SIGCONT)
            system.wait_for_version(version, system.second)
            self.assertEqual(system.first.stop(), 0)
            system.withdraw("entry0")
            restarted = system.add_entry("entry0")
            system.wait_for_version(version, restarted)
            done = amend(restarted, 8600, version)
            self.assertEqual(done.returncode, SUCCESS, done.stderr)
            version = int(re.search(r"version (\d+)", done.stdout).group(1))
            self.wait_for_companion(system, version)
            seen = versions_in_log(system.companion)
            self.assertEqual(seen, sorted(set(seen)))

    @staticmethod
    def wait_for_companion(system, version):
        cluster.wait_until(
            lambda: version in versions_in_log(system.companion),
            f"version {version} in force at the companion")

    def test_an_unknown_setting_is_named(self):
        with cluster.Cluster() as system:
            for program in ("auburnlb-entry", "auburnlb-companion"):
                path = system.path("bad.json")
                values = system.node("bad", "dc1")
                values["node"]["colour"] = "auburn-7"
                with open(path, "w", encoding="utf-8") as file:
                    json.dump(values, file)
                for option in ("--settings", "--check-settings"):
                    with self.subTest(program=program, option=option):
                        done = run_daemon(program, option, path)
                        self.assertEqual(done.returncode, USAGE)
                        for part in (path, "node", "colour", "auburn-7"):
                            self.assertIn(part, done.stderr)

    def test_valid_settings_are_said_to_be_valid(self):
        with cluster.Cluster() as system:
            path = system.path("good.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(system.node("good", "dc1"), file)
            done = run_daemon("auburnlb-entry", "--check-settings", path)
            self.assertEqual(done.returncode, SUCCESS, done.stderr)
            self.assertIn(path, done.stdout)

    def test_a_port_in_use_is_named(self):
        with cluster.Cluster() as system, socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            holder.listen()
            port = holder.getsockname()[1]
            for section in ({"peers": {"address": f"tcp://127.0.0.1:{port}"}},
                            {"callers": {"port": port}},
                            {"admin": {"enabled": True, "port": port,
                                       "token": cluster.TOKEN}}):
                with self.subTest(section=list(section)):
                    path = system.path("taken.json")
                    with open(path, "w", encoding="utf-8") as file:
                        json.dump({**system.node("taken", "dc1"), **section},
                                  file)
                    done = run_daemon("auburnlb-entry", "--settings", path)
                    self.assertEqual(done.returncode, FAILURE, done.stderr)
                    self.assertIn("E0104", done.stderr)
                    self.assertIn(f"127.0.0.1:{port}", done.stderr)

    def test_an_entry_waits_for_a_platform_that_comes_later(self):
        with ControlCluster() as system:
            # The relay's first target refuses connections; it is led to the
            # platform afterwards, at the address that the entry was given.
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                closed = unused.getsockname()[1]
                relay = system.start_fake("relay",
                                          ["--to", f"127.0.0.1:{closed}"])
                line = relay.child.stdout.readline().decode()
                control = int(line.rsplit(":", 1)[1])
                values = system.node("early", "dc1")
                values["platform"]["url"] = f"http://127.0.0.1:{relay.port}"
                early = system.start_daemon("auburnlb-entry", "early", values)
                cluster.wait_until(
                    lambda: "E0202 platform_unreachable" in early.log(),
                    "the entry has noticed")
                self.assertIsNone(early.child.poll())
                self.assertEqual(self.readiness(early), 503)
            status, _, text = cluster.request(
                control, "POST", "/", f"to 127.0.0.1:{system.platform.port}")
            self.assertEqual(status, 200, text)
            cluster.wait_until(lambda: self.readiness(early) == 200,
                               "the entry is ready")
            self.assertIn("E0203 platform_reachable", early.log())


if __name__ == "__main__":
    unittest.main(verbosity=2)
