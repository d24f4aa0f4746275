"""What an entry tells callers whose requests are wrong, over real sockets: a
numbered reason, the field and its value, and that nothing ran."""

import json
import socket
import unittest

import cluster
from cluster import key_of, request
from fixture import SERVICE, WORKSPACE, ModelCluster, chat

RANGES = [(0, 4), (4, 8), (8, 12)]


class BadInputTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.system = ModelCluster(RANGES)
        cls.entry = cls.system.entry

    @classmethod
    def tearDownClass(cls):
        cls.system.__exit__(None, None, None)

    def post(self, body, workspace=WORKSPACE, path="/v1/chat/completions", headers=None):
        fields = {"Authorization": f"Bearer {key_of(workspace)}"}
        fields.update(headers or {})
        status, _, text = request(self.entry.callers, "POST", path, body, fields)
        return status, json.loads(text)["error"]

    def message(self, **fields):
        body = {"model": SERVICE, "messages": [{"role": "user", "content": "hello"}]}
        body.update(fields)
        return body

    def check(self, answer, status, reason, *words):
        self.assertEqual((answer[0], answer[1]["reason"]), (status, reason))
        self.assertEqual(answer[1]["run_state"], "not_run")
        for word in words:
            self.assertIn(word, answer[1]["message"])

    def test_unknown_service(self):
        self.check(self.post(self.message(model="kalai-painter")), 404, "unknown_service",
                   "kalai-painter")

    def test_key_of_no_workspace(self):
        self.check(self.post(self.message(), "nobody"), 401, "unauthorized", "Authorization")

    def test_unknown_path(self):
        self.check(self.post({}, path="/v1/paintings"), 404, "unknown_path", "/v1/paintings")

    def test_body_that_is_no_json(self):
        self.check(self.post("{pans"), 400, "malformed_request")

    def test_field_out_of_range(self):
        self.check(self.post(self.message(max_tokens=-3)), 400, "invalid_field", "max_tokens",
                   "-3")

    def test_header_out_of_range(self):
        self.check(self.post(self.message(), headers={"X-Request-Timeout-Ms": "soon"}), 400,
                   "invalid_field", "X-Request-Timeout-Ms", "soon")

    def test_body_over_the_limit_of_the_service(self):
        content = "pan " * 40_000
        self.check(self.post(self.message(messages=[{"role": "user", "content": content}])),
                   413, "body_too_large", SERVICE)

    def test_garbage_on_the_internal_port_harms_nobody(self):
        host, port = self.entry.bus.removeprefix("tcp://").rsplit(":", 1)
        for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\x00SP\x00\x00\x50\x00\x00" + b"\xff" * 64):
            with socket.create_connection((host, int(port)), 5) as raw:
                raw.sendall(garbage)
        status, body = chat(self.entry, "job card", 5)
        self.assertEqual(status, 200)
        self.assertEqual(body["choices"][0]["message"]["content"].strip(),
                         cluster.expected_answer("job card", 12, 5).strip())

    def test_half_a_request_does_not_hold_the_entry(self):
        with socket.create_connection(("127.0.0.1", self.entry.callers), 5) as raw:
            raw.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{")
            self.assertEqual(chat(self.entry, "care note", 5)[0], 200)


if __name__ == "__main__":
    unittest.main(verbosity=2)
