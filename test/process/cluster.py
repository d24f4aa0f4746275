"""Starts stand-ins, companions and entries on free ports of the loopback.

Used by the demo, the process tests and the bench. Processes are ended by id;
every wait is for a condition, with a limit that only fails the run.
"""

import hashlib
import http.client
import json
import os
import signal
import subprocess
import tempfile
import threading
import time

SOURCE = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(SOURCE, os.environ.get("BUILD_DIR", "build"))
TOKEN = "operators-token"
WAIT_LIMIT_S = 30


def wait_until(condition, what, limit_s=WAIT_LIMIT_S):
    """Waits for a condition; raises with its name when it never holds."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise TimeoutError(f"not within {limit_s} s: {what}")


def key_of(workspace):
    """Bearer key of a workspace in the examples."""
    return f"demo-key-{workspace}"


class Process:
    """One child process. The first line of output of most tells their ports;
    the output of the others goes to the log."""

    def __init__(self, name, command, log, is_announcing=True):
        self.name = name
        self.log_path = log
        self._log = open(log, "ab")
        self.child = subprocess.Popen(
            command, stdout=subprocess.PIPE if is_announcing else self._log,
            stderr=self._log, stdin=subprocess.DEVNULL)
        self.first_line = self.child.stdout.readline().decode().strip() \
            if is_announcing else ""
        if is_announcing and not self.first_line:
            raise RuntimeError(f"{name} did not start: {self.log()}")

    def watch_end(self):
        """Notes when the process really ends."""
        self.began_at, self.ended_at = time.monotonic(), None

        def wait():
            try:
                os.waitid(os.P_PID, self.child.pid, os.WEXITED | os.WNOWAIT)
            except ChildProcessError:
                pass
            self.ended_at = time.monotonic()
        threading.Thread(target=wait, daemon=True).start()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as text:
            return text.read()

    def send(self, signal_number):
        if self.child.poll() is None:
            self.child.send_signal(signal_number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait(WAIT_LIMIT_S)

    def stop(self):
        """Planned stop; gives the exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        return self.child.wait(WAIT_LIMIT_S)

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            self.child.wait(3)
        except subprocess.TimeoutExpired:
            self.kill()
        if self.child.stdout:
            self.child.stdout.close()
        self._log.close()


def request(port, method, path, body=None, headers=None, timeout=WAIT_LIMIT_S):
    """One HTTP request; gives (status, headers, text)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        payload = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, payload, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


class Answer:
    """A streamed answer as a caller sees it."""

    def __init__(self):
        self.status = 0
        self.text = ""
        self.times = []
        self.ids = []
        self.finish = None
        self.error = None
        self.is_done = False


def stream_chat(port, service, workspace, prompt, tokens, on_token=None, headers=None,
                answer=None):
    """Streams one answer to its end into an Answer, which keeps what came before
    a connection broke."""
    answer = answer or Answer()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=120)
    body = {"model": service, "stream": True, "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}]}
    all_headers = {"Authorization": f"Bearer {key_of(workspace)}",
                   "Content-Type": "application/json"}
    all_headers.update(headers or {})
    try:
        connection.request("POST", "/v1/chat/completions", json.dumps(body), all_headers)
        response = connection.getresponse()
        answer.status = response.status
        if response.status != 200:
            answer.error = json.loads(response.read())["error"]
            return answer
        for raw in response:
            line = raw.decode().rstrip("\r\n")
            if line.startswith("id: "):
                answer.ids.append(line[4:])
            if not line.startswith("data: "):
                continue
            if line == "data: [DONE]":
                answer.is_done = True
                continue
            event = json.loads(line[6:])
            if "error" in event:
                answer.error = event["error"]
                continue
            choice = event["choices"][0]
            piece = choice["delta"].get("content", "")
            if piece:
                answer.text += piece
                answer.times.append(time.monotonic())
                if on_token:
                    on_token(len(answer.times))
            answer.finish = choice.get("finish_reason") or answer.finish
    finally:
        connection.close()
    return answer


def expected_answer(prompt, layers, tokens):
    """The right text of an answer, by the reference arithmetic."""
    done = subprocess.run(
        [os.path.join(BUILD, "fake-expected_answer"), "--layers", str(layers),
         "--tokens", str(tokens)],
        input=prompt + "\n", check=True, capture_output=True, text=True)
    return done.stdout.rstrip("\n")


class Cluster:
    """A platform, engines with companions, plain services and entries."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="auburnlb-")
        self.processes = []
        self.hosts = []
        self.companions = {}
        self.engines = {}
        self.entries = {}
        self._counter = 0
        self._lock = threading.Lock()
        self.platform = self.start_fake("platform", [])

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        if failure[0] is not None:
            self.print_logs()
        for process in reversed(self.processes):
            process.end()
        self.folder.cleanup()

    def print_logs(self, lines=15):
        for process in self.processes:
            tail = process.log().splitlines()[-lines:]
            if tail:
                print(f"--- {process.name}")
                print("\n".join(tail))

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def start(self, name, command):
        process = Process(name, command, self.path(name + ".log"))
        self.processes.append(process)
        return process

    def start_fake(self, kind, options, name=None):
        self._counter += 1
        process = self.start(name or f"{kind}-{self._counter}",
                             [os.path.join(BUILD, f"fake-{kind}")] + options)
        process.port = int(process.first_line.rsplit(":", 1)[1])
        return process

    def start_daemon(self, program, name, values):
        path = self.path(name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(values, file)
        process = self.start(name, [os.path.join(BUILD, program), "--settings", path])
        fields = dict(part.split("=", 1) for part in process.first_line.split())
        process.bus = fields["bus"]
        process.callers = int(fields.get("callers", 0))
        process.admin = int(fields.get("admin", 0))
        return process

    def node(self, name, data_centre):
        return {"node": {"name": name, "data_centre": data_centre, "region": "one"},
                "platform": {"url": f"http://127.0.0.1:{self.platform.port}"},
                "log": {"level": "info", "output": "stderr"}}

    def add_engine(self, name, service, layers, data_centre="dc1", options=(), timing=None):
        """An engine with its companion; layers is (first, end)."""
        engine = self.start_fake("engine", ["--layers", f"{layers[0]}:{layers[1]}"] + list(options),
                                 name=f"engine-{name}")
        self.engines[name] = engine
        return self.add_companion(name, service, "model", engine.port, data_centre, timing)

    def add_companion(self, name, service, kind, port, data_centre="dc1", timing=None):
        values = self.node(name, data_centre)
        values["endpoint"] = {"url": f"http://127.0.0.1:{port}", "kind": kind,
                              "service": service}
        if timing:
            values["timing"] = timing
        companion = self.start_daemon("auburnlb-companion", name, values)
        self.companions[name] = companion
        self.announce(name, "endpoint", companion.bus, data_centre)
        return companion

    def add_entry(self, name, data_centre="dc1", timing=None):
        values = self.node(name, data_centre)
        values["admin"] = {"enabled": True, "token": TOKEN}
        if timing:
            values["timing"] = timing
        entry = self.start_daemon("auburnlb-entry", name, values)
        self.entries[name] = entry
        self.announce(name, "entry", entry.bus, data_centre)
        return entry

    def announce(self, name, role, address, data_centre, state="live"):
        """Puts a host on the platform's list, or changes its state."""
        with self._lock:
            self.hosts = [host for host in self.hosts if host["name"] != name]
            self.hosts.append({"name": name, "role": role, "address": address,
                               "data_centre": data_centre, "region": "one", "state": state})
            self.platform_control("hosts", self.hosts)

    def withdraw(self, name):
        with self._lock:
            self.hosts = [host for host in self.hosts if host["name"] != name]
            self.platform_control("hosts", self.hosts)

    def platform_control(self, what, body):
        status, _, text = request(self.platform.port, "POST", f"/fake/{what}", body)
        if status >= 300:
            raise RuntimeError(f"platform control {what}: {status} {text}")

    def admin(self, entry, method, path, body=None):
        status, _, text = request(entry.admin, method, "/admin/v1" + path, body,
                                  {"Authorization": f"Bearer {TOKEN}", "X-Operator": "demo"})
        return status, json.loads(text) if text else {}

    def status(self, entry):
        return self.admin(entry, "GET", "/status")[1]

    def metric(self, entry, name):
        """Sum of a metric over its labels."""
        _, _, text = request(entry.admin, "GET", "/metrics")
        total = 0.0
        for line in text.splitlines():
            if line.startswith(name + " ") or line.startswith(name + "{"):
                total += float(line.rsplit(" ", 1)[1])
        return total

    def engine_status(self, name):
        return json.loads(request(self.engines[name].port, "GET", "/v1/status")[2])

    def wait_for_service(self, entry, service, endpoints):
        """Waits until the entry has the service and that many live endpoints."""
        def is_ready():
            status = self.status(entry)
            live = [each for each in status["endpoints"]
                    if each["state"] == "live" and each["service"] == service]
            known = [each["name"] for each in status["services"]]
            return service in known and len(live) == endpoints
        wait_until(is_ready, f"{service} with {endpoints} live endpoints")


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()
