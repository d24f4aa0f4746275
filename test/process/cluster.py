"""Starts the system's processes with fakes around them, and calls the system.

Every process listens on a free port of 127.0.0.1 and is ended by its own
process id. Waiting is always for a condition, with a limit.
"""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import threading
import time
import unittest

SOURCE = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("AUBURNLB_BUILD", SOURCE / "build"))
SERVICE = "kalai-writer"
WORKSPACE_KEY = "demo-key-head-office"
LAYERS = 12
START_LIMIT_S = 20.0
STOP_LIMIT_S = 10.0
ANSWER_LIMIT_S = 60.0


def wait_until(condition, limit_s, what):
    """Polls until the condition gives a true value, and returns it."""
    deadline = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"{what}: not so within {limit_s} s")
        time.sleep(0.01)


def call(address, method, path, body=None, headers=None, timeout=10.0):
    """One HTTP call on a connection of its own: status, headers, body."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


def post_json(address, path, value):
    status, _, body = call(address, "POST", path, json.dumps(value))
    if status != 200:
        raise AssertionError(f"POST {path} at {address}: {status} {body!r}")


def get_json(address, path):
    status, _, body = call(address, "GET", path)
    if status != 200:
        raise AssertionError(f"GET {path} at {address}: {status} {body!r}")
    return json.loads(body)


def expected_answers(contents, tokens):
    """What the fake engines answer to each user message."""
    program = BUILD / "fake-expected_answer"
    done = subprocess.run(
        [program, "--layers", str(LAYERS), "--tokens", str(tokens)],
        input="".join(content + "\n" for content in contents),
        capture_output=True, text=True, check=True)
    return done.stdout.split("\n")[:len(contents)]


class Process:
    """One child process, its log kept in a file."""

    def __init__(self, name, arguments, log_directory):
        self.name = name
        self.log_path = pathlib.Path(log_directory) / f"{name}.log"
        with open(self.log_path, "wb") as log:
            self.child = subprocess.Popen(
                [str(argument) for argument in arguments],
                stdout=subprocess.PIPE, stderr=log, text=True)

    def read_line(self):
        """The next line that the process prints about its ports."""
        line = self.child.stdout.readline()
        if not line:
            raise AssertionError(f"{self.name} ended at once:\n{self.log()}")
        return line.strip()

    def log(self):
        return self.log_path.read_text(errors="replace")

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def is_running(self):
        return self.child.poll() is None

    def close(self):
        if self.is_running():
            # A stopped process takes no other signal.
            self.child.kill()
        self.child.wait()
        self.child.stdout.close()


class Endpoint:
    """An engine, its companion and, where wanted, relays before them."""

    def __init__(self, name, layers):
        self.name = name
        self.layers = layers
        self.engine = None
        self.engine_address = ""
        self.engine_relay = None
        self.companion = None
        self.bus = ""

    def counts(self):
        return get_json(self.engine_address, "/fake/counts")


class Relay:
    """A TCP relay with its control side."""

    def __init__(self, process):
        self.process = process
        self.address = process.read_line().split()[1]
        self.control = process.read_line().split()[1]

    def command(self, text):
        status, _, body = call(self.control, "POST", "/", text)
        if status != 200:
            raise AssertionError(f"relay command {text}: {status} {body!r}")

    def counts(self):
        return get_json(self.control, "/")


class Entry:
    """An entry with its addresses."""

    def __init__(self, process):
        self.process = process
        fields = dict(part.split("=", 1)
                      for part in process.read_line().split())
        self.bus = fields["bus"]
        self.callers = "127.0.0.1:" + fields["callers"]
        self.admin = "127.0.0.1:" + fields["admin"]


class Cluster:
    """Platform, endpoints and entries. Use as a context manager.

    ranges: one layer range such as "0:4" for each endpoint.
    engine_options: further options of every fake engine.
    """

    def __init__(self, ranges, entries=1, engine_options=(),
                 with_engine_relays=False):
        self.directory = tempfile.TemporaryDirectory(prefix="auburnlb-")
        self.processes = []
        self.endpoints = []
        self.entries = []
        try:
            self._start(ranges, entries, list(engine_options),
                        with_engine_relays)
        except BaseException:
            self.close()
            raise

    def __enter__(self):
        return self

    def __exit__(self, kind, value, traceback):
        if kind is not None:
            self.print_logs()
        self.close()

    def _start(self, ranges, entries, engine_options, with_engine_relays):
        platform = self.spawn("platform", [BUILD / "fake-platform"])
        self.platform = platform.read_line().split()[1]
        for index, layers in enumerate(ranges):
            endpoint = Endpoint(f"endpoint{index}", layers)
            self.endpoints.append(endpoint)
            self._start_engine(endpoint, engine_options, with_engine_relays)
            self._start_companion(endpoint)
        self.apply_configuration()
        for index in range(entries):
            self.start_entry(f"entry{index}")
        self.publish_hosts()
        self.wait_ready()

    def spawn(self, name, arguments):
        process = Process(name, arguments, self.directory.name)
        self.processes.append(process)
        return process

    def start_relay(self, name, target):
        return Relay(self.spawn(name, [BUILD / "fake-relay", "--to", target]))

    def _start_engine(self, endpoint, engine_options, with_relay):
        endpoint.engine = self.spawn(
            endpoint.name + "-engine",
            [BUILD / "fake-engine", "--layers", endpoint.layers,
             "--model-layers", LAYERS] + engine_options)
        endpoint.engine_address = endpoint.engine.read_line().split()[1]
        if with_relay:
            endpoint.engine_relay = self.start_relay(
                endpoint.name + "-engine-relay", endpoint.engine_address)

    def _start_companion(self, endpoint):
        target = endpoint.engine_address
        if endpoint.engine_relay:
            target = endpoint.engine_relay.address
        endpoint.companion = self._start_daemon(
            "auburnlb-companion", endpoint.name,
            {"endpoint": {"url": f"http://{target}", "service": SERVICE}})
        endpoint.bus = endpoint.companion.read_line().split("=", 1)[1]

    def start_entry(self, name):
        entry = Entry(self._start_daemon(
            "auburnlb-entry", name,
            {"admin": {"enabled": True, "token": "admin-token"}}))
        self.entries.append(entry)
        return entry

    def _start_daemon(self, program, name, sections):
        settings = {"node": {"name": name, "data_centre": "ahmedabad",
                             "region": "gujarat"},
                    "platform": {"url": f"http://{self.platform}"},
                    **sections}
        path = pathlib.Path(self.directory.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self.spawn(name, [BUILD / program, "--settings", path])

    def publish_hosts(self):
        hosts = [self._host(entry.process.name, "entry", entry.bus)
                 for entry in self.entries]
        hosts += [self._host(endpoint.name, "endpoint", endpoint.bus)
                  for endpoint in self.endpoints]
        post_json(self.platform, "/fake/hosts", {"hosts": hosts})

    @staticmethod
    def _host(name, role, address):
        return {"name": name, "role": role, "address": address,
                "data_centre": "ahmedabad", "region": "gujarat",
                "state": "live"}

    def apply_configuration(self):
        """Writes the service's object as an operator's change would."""
        example = SOURCE / "examples" / "kalaiwala" / f"{SERVICE}.json"
        questionnaire = json.loads(example.read_text())
        questionnaire["model"]["layers"] = LAYERS
        generated = {"layers": LAYERS}
        for caller in questionnaire["callers"]:
            field = f"workspaces.{caller['workspace']}.key_sha256"
            generated[field] = caller["key_sha256"]
        digest = hashlib.sha256(WORKSPACE_KEY.encode()).hexdigest()
        assert digest in generated.values()
        value = {"change_id": "process-test", "author": "process test",
                 "comment": "", "questionnaire": questionnaire,
                 "generated": {field: {"value": value, "reason": "test"}
                               for field, value in generated.items()},
                 "amendments": {}, "history": []}
        status, _, body = call(
            self.platform, "PUT", f"/v1/objects/services/{SERVICE}",
            json.dumps(value), {"If-None-Match": "*"})
        assert status == 200, body

    def wait_ready(self):
        """Until every entry serves a short request and knows every peer."""
        for entry in self.entries:
            wait_until(lambda: chat(entry.callers, "hello", 1).is_whole(),
                       START_LIMIT_S, f"{entry.process.name} serves")
        # A hello to each endpoint follows the host list; one beat covers all.
        time.sleep(0.5)

    def set_platform_faults(self, **faults):
        post_json(self.platform, "/fake/faults", faults)

    def holding(self, layers):
        return [endpoint for endpoint in self.endpoints
                if endpoint.layers == layers]

    def busiest(self, layers):
        """The endpoint of a range whose engine holds the most streams."""
        return max(self.holding(layers),
                   key=lambda endpoint: endpoint.counts()["streams"])

    def wait_memory_free(self, limit_s=10.0):
        """Until no running engine holds KV memory or a stream."""
        def is_free():
            counts = [endpoint.counts() for endpoint in self.endpoints
                      if endpoint.engine.is_running()]
            return all(count["kv_used_tokens"] == 0 and count["streams"] == 0
                       for count in counts)
        wait_until(is_free, limit_s, "no engine holds KV memory")

    def metrics(self, entry):
        _, _, body = call(entry.admin, "GET", "/metrics", None,
                          {"Authorization": "Bearer admin-token"})
        return body.decode()

    def print_logs(self):
        for process in self.processes:
            lines = process.log().splitlines()[-25:]
            if lines:
                print(f"--- {process.name}", *lines, sep="\n", flush=True)

    def close(self):
        for process in reversed(self.processes):
            process.close()
        self.directory.cleanup()


class Answer:
    """What one caller received."""

    def __init__(self):
        self.status = 0
        self.text = ""
        self.indexes = []
        self.times = []
        self.finish_reason = None
        self.is_done = False
        self.error = None

    def is_whole(self):
        return (self.status == 200 and self.error is None and
                self.finish_reason is not None)

    def longest_gap(self):
        """Longest time between two tokens, in seconds."""
        pairs = zip(self.times, self.times[1:])
        return max((later - earlier for earlier, later in pairs), default=0.0)


def chat_body(content, tokens, is_stream):
    return json.dumps({"model": SERVICE, "max_tokens": tokens,
                       "stream": is_stream,
                       "messages": [{"role": "user", "content": content}]})


CHAT_HEADERS = {"Authorization": f"Bearer {WORKSPACE_KEY}",
                "Content-Type": "application/json"}


def chat(address, content, tokens):
    """A request for one JSON body."""
    answer = Answer()
    answer.status, _, body = call(
        address, "POST", "/v1/chat/completions",
        chat_body(content, tokens, False), CHAT_HEADERS, ANSWER_LIMIT_S)
    value = json.loads(body)
    if answer.status != 200:
        answer.error = value
        return answer
    choice = value["choices"][0]
    answer.text = choice["message"]["content"]
    answer.finish_reason = choice["finish_reason"]
    answer.is_done = True
    return answer


class Caller(threading.Thread):
    """Reads one streamed answer, event by event.

    leave_after: closes the connection when so many tokens have come.
    """

    def __init__(self, address, content, tokens, leave_after=None):
        super().__init__(daemon=True)
        self.leave_after = leave_after
        self.address = address
        self.content = content
        self.tokens = tokens
        self.answer = Answer()
        self.connection = http.client.HTTPConnection(address,
                                                     timeout=ANSWER_LIMIT_S)
        self.start()

    def run(self):
        try:
            self._read_stream()
        except (OSError, ValueError, http.client.HTTPException) as failure:
            self.answer.error = repr(failure)
        finally:
            self.connection.close()

    def _read_stream(self):
        self.connection.request("POST", "/v1/chat/completions",
                                chat_body(self.content, self.tokens, True),
                                CHAT_HEADERS)
        response = self.connection.getresponse()
        self.answer.status = response.status
        if response.status != 200:
            self.answer.error = response.read()
            return
        index = None
        for raw in response:
            line = raw.decode().rstrip("\n")
            if line.startswith("id: "):
                index = int(line.rpartition(":")[2])
            elif line.startswith("data: "):
                self._on_data(line[len("data: "):], index)
            if self.received() == self.leave_after:
                return

    def _on_data(self, data, index):
        if data == "[DONE]":
            self.answer.is_done = True
            return
        event = json.loads(data)
        if "error" in event:
            self.answer.error = event["error"]
            return
        choice = event["choices"][0]
        if choice["finish_reason"] is not None:
            self.answer.finish_reason = choice["finish_reason"]
        content = choice["delta"].get("content")
        if content:
            self.answer.text += content
            self.answer.indexes.append(index)
            self.answer.times.append(time.monotonic())

    def received(self):
        return len(self.answer.indexes)


class ClusterTest(unittest.TestCase):
    """Checks that the cases share."""

    def start_callers(self, entry, count, tokens, label, leave_after=None):
        contents = [f"{label} {index}: write the job card"
                    for index in range(count)]
        return [Caller(entry.callers, content, tokens, leave_after)
                for content in contents]

    def wait_received(self, callers, tokens):
        wait_until(lambda: all(caller.received() >= tokens or
                               caller.answer.error for caller in callers),
                   START_LIMIT_S, f"every caller has {tokens} tokens")

    def check_whole(self, callers):
        """Joins the callers and compares each answer with the reference."""
        for caller in callers:
            caller.join(ANSWER_LIMIT_S)
            self.assertFalse(caller.is_alive(), "a caller still waits")
        expected = expected_answers([caller.content for caller in callers],
                                    callers[0].tokens)
        for caller, text in zip(callers, expected):
            answer = caller.answer
            with self.subTest(content=caller.content):
                self.assertIsNone(answer.error)
                self.assertEqual(answer.text, text)
                self.assertEqual(answer.indexes, list(range(caller.tokens)))
                self.assertEqual(answer.finish_reason, "length")
                self.assertTrue(answer.is_done)

    def report(self, what, callers):
        gaps = sorted(caller.answer.longest_gap() for caller in callers)
        print(f"MEASURED {what}: longest gap between tokens, median "
              f"{gaps[len(gaps) // 2] * 1000:.0f} ms, worst "
              f"{gaps[-1] * 1000:.0f} ms, {len(gaps)} streams", flush=True)


STOP = signal.SIGSTOP
CONTINUE = signal.SIGCONT
TERMINATE = signal.SIGTERM
