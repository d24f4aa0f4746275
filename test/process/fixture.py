"""What the process tests share: a cluster of one model service, and callers
whose answers are compared with the reference arithmetic."""

import json
import os
import threading
import unittest

import cluster

SERVICE = "kalai-writer"
WORKSPACE = "head-office"
LAYERS = 12
ENGINE = ["--model-layers", str(LAYERS), "--step-us", "3000",
          "--token-us", "50", "--prefill-us", "10"]
DEADLINE_MS = 30_000
ANSWER_LIMIT_S = 40


class Endpoint:
    """Names of one endpoint's processes in the cluster."""

    def __init__(self, system, name, layers):
        self.layers = layers
        self.engine = system.engines[name]
        self.companion = system.companions[name]
        self.engine_relay = None
        self.stage_relay = None

    def counts(self):
        status, _, text = cluster.request(self.engine.port, "GET",
                                          "/fake/counts")
        assert status == 200, text
        return json.loads(text)

    def is_engine_running(self):
        return self.engine.child.poll() is None


class ModelCluster(cluster.Cluster):
    """One model service over endpoints with the given layer ranges."""

    def __init__(self, ranges, entries=1, with_engine_relays=False,
                 with_stage_relays=False, engine_options=()):
        super().__init__()
        self.engine_options = ENGINE + list(engine_options)
        try:
            self.endpoints = [self._add_endpoint(index, layers,
                                                 with_engine_relays,
                                                 with_stage_relays)
                              for index, layers in enumerate(ranges)]
            for index in range(entries):
                self.add_entry(f"entry{index}")
            self.entry = self.entries["entry0"]
            self._apply_configuration()
            for entry in self.entries.values():
                self.wait_for_service(entry, SERVICE, len(ranges))
            if entries > 1:
                self._wait_for_host_lists()
        except BaseException:
            self.__exit__(RuntimeError, None, None)
            raise

    def _add_endpoint(self, index, layers, with_engine_relay,
                      with_stage_relay):
        name = f"endpoint{index}"
        if with_stage_relay:
            return self._add_endpoint_behind_relay(name, layers)
        if not with_engine_relay:
            self.add_engine(name, SERVICE, layers, options=self.engine_options)
            return Endpoint(self, name, layers)
        engine = self._start_engine(name, layers)
        relay = self.start_relay(engine.port)
        self.add_companion(name, SERVICE, "model", relay.port)
        endpoint = Endpoint(self, name, layers)
        endpoint.engine_relay = relay
        return endpoint

    def _start_engine(self, name, layers):
        options = ["--layers", f"{layers[0]}:{layers[1]}"] + self.engine_options
        engine = self.start_fake("engine", options, name=f"engine-{name}")
        self.engines[name] = engine
        return engine

    def _add_endpoint_behind_relay(self, name, layers):
        """Peers reach the companion through a relay, which is started before
        it and learns its port afterwards."""
        engine = self._start_engine(name, layers)
        relay = self.start_relay(1)
        values = self.node(name, "dc1")
        values["peers"] = {
            "advertised_address": f"tcp://127.0.0.1:{relay.port}"}
        values["endpoint"] = {"url": f"http://127.0.0.1:{engine.port}",
                              "kind": "model", "service": SERVICE}
        companion = self.start_daemon("auburnlb-companion", name, values)
        self.companions[name] = companion
        relay_command(relay, "to " + companion.bus.removeprefix("tcp://"))
        self.announce(name, "endpoint",
                      values["peers"]["advertised_address"], "dc1")
        endpoint = Endpoint(self, name, layers)
        endpoint.stage_relay = relay
        return endpoint

    def start_relay(self, port):
        relay = self.start_fake("relay", ["--to", f"127.0.0.1:{port}"])
        line = relay.child.stdout.readline().decode()
        relay.control = int(line.rsplit(":", 1)[1])
        return relay

    def _apply_configuration(self):
        path = os.path.join(cluster.SOURCE, "examples", "kalaiwala",
                            f"{SERVICE}.json")
        with open(path, encoding="utf-8") as file:
            answers = json.load(file)
        answers["model"]["layers"] = LAYERS
        body = {"questionnaire": answers, "change_id": "process-test",
                "comment": "start", "expected_version": 0}
        status, text = self.admin(self.entry, "PUT", f"/services/{SERVICE}",
                                  body)
        assert status == 200, text

    def _host_list_calls(self):
        _, _, text = cluster.request(self.platform.port, "GET", "/fake/calls")
        return json.loads(text)["calls"].get("GET hosts", 0)

    def _wait_for_host_lists(self):
        """Until every entry has read the list that names all of them, and has
        had a beat's time to greet the others."""
        wanted = self._host_list_calls() + 2 * len(self.entries) + 1
        cluster.wait_until(lambda: self._host_list_calls() >= wanted,
                           "every entry reads the host list again")

    def set_platform_faults(self, **faults):
        self.platform_control("faults", faults)

    def busiest(self, layers):
        """The endpoint of a range whose engine holds the most streams."""
        holding = [endpoint for endpoint in self.endpoints
                   if endpoint.layers == layers]
        return max(holding, key=lambda each: each.counts()["streams"])

    def wait_memory_free(self, limit_s=20):
        """Until no running engine holds KV memory or a stream."""
        def is_free():
            counts = [endpoint.counts() for endpoint in self.endpoints
                      if endpoint.is_engine_running()]
            return all(count["kv_used_tokens"] == 0 and count["streams"] == 0
                       for count in counts)
        cluster.wait_until(is_free, "no engine holds KV memory", limit_s)


def relay_command(relay, text):
    status, _, body = cluster.request(relay.control, "POST", "/", text)
    assert status == 200, body


def chat(entry, content, tokens, deadline_ms=DEADLINE_MS):
    """A request for one JSON body: status and the parsed body."""
    body = {"model": SERVICE, "max_tokens": tokens,
            "messages": [{"role": "user", "content": content}]}
    headers = {"Authorization": f"Bearer {cluster.key_of(WORKSPACE)}",
               "X-Request-Timeout-Ms": str(deadline_ms)}
    status, _, text = cluster.request(entry.callers, "POST",
                                      "/v1/chat/completions", body, headers,
                                      ANSWER_LIMIT_S)
    return status, json.loads(text)


class HungUp(Exception):
    """The caller left in the middle of its answer."""


class Caller(threading.Thread):
    """Reads one streamed answer; leave_after ends it after so many tokens."""

    def __init__(self, entry, content, tokens, leave_after=None):
        super().__init__(daemon=True)
        self.entry = entry
        self.content = content
        self.tokens = tokens
        self.leave_after = leave_after
        self.received = 0
        self.has_left = False
        self.answer = None
        self.failure = None
        self.start()

    def run(self):
        try:
            self.answer = cluster.stream_chat(
                self.entry.callers, SERVICE, WORKSPACE, self.content,
                self.tokens, self._on_token,
                {"X-Request-Timeout-Ms": str(DEADLINE_MS)})
        except HungUp:
            self.has_left = True
        except Exception as failure:
            self.failure = failure

    def _on_token(self, received):
        self.received = received
        if received == self.leave_after:
            raise HungUp()

    def longest_gap(self):
        times = self.answer.times
        return max((later - earlier
                    for earlier, later in zip(times, times[1:])), default=0.0)


class ProcessTest(unittest.TestCase):
    """Checks that the cases share."""

    def start_callers(self, entry, count, tokens, label, leave_after=None):
        return [Caller(entry, f"{label} {index}: write the job card", tokens,
                       leave_after) for index in range(count)]

    def wait_received(self, callers, tokens):
        cluster.wait_until(
            lambda: all(caller.received >= tokens or not caller.is_alive()
                        for caller in callers),
            f"every caller has {tokens} tokens")

    def join(self, callers):
        for caller in callers:
            caller.join(ANSWER_LIMIT_S)
            self.assertFalse(caller.is_alive(), "a caller still waits")

    def check_whole(self, callers):
        """Joins the callers and compares each answer with the reference."""
        self.join(callers)
        for caller in callers:
            with self.subTest(content=caller.content):
                self.assertIsNone(caller.failure)
                self.check_answer(caller, caller.answer)

    def check_answer(self, caller, answer):
        self.assertIsNone(answer.error)
        self.assertEqual(answer.text, cluster.expected_answer(
            caller.content, LAYERS, caller.tokens))
        indexes = [int(each.rpartition(":")[2]) for each in answer.ids]
        self.assertEqual(indexes[:caller.tokens], list(range(caller.tokens)))
        self.assertEqual(answer.finish, "length")
        self.assertTrue(answer.is_done)

    def report(self, what, callers):
        gaps = sorted(caller.longest_gap() for caller in callers
                      if caller.answer)
        print(f"MEASURED {what}: longest gap between tokens, median "
              f"{gaps[len(gaps) // 2] * 1000:.0f} ms, worst "
              f"{gaps[-1] * 1000:.0f} ms, {len(gaps)} streams", flush=True)
