"""Open-loop callers on asyncio: requests arrive when a seeded schedule says,
whether or not earlier ones were answered."""

import asyncio
import json
import random
import time

from cluster import key_of

#: A caller that hears nothing for so long counts as failed.
SILENCE_LIMIT_S = 30


class Outcome:
    """What one request met."""

    def __init__(self, workspace, prompt, tokens):
        self.workspace = workspace
        self.prompt = prompt
        self.tokens = tokens
        self.sent = 0.0
        self.status = 0
        self.times = []
        self.text = ""
        self.is_done = False
        self.refusal = None
        self.failure = None

    def first_token_s(self):
        return self.times[0] - self.sent if self.times else None

    def intervals(self):
        return [later - earlier for earlier, later in zip(self.times, self.times[1:])]


def schedule(rates, seconds, token_choices, prompts, seed):
    """Arrivals of a Poisson process for each workspace: (second, outcome).

    rates are offered tokens a second by workspace.
    """
    draw = random.Random(seed)
    mean = sum(token_choices) / len(token_choices)
    arrivals = []
    for workspace, rate in rates.items():
        at = 0.0
        while rate > 0:
            at += draw.expovariate(rate / mean)
            if at > seconds:
                break
            arrivals.append((at, Outcome(workspace, draw.choice(prompts),
                                         draw.choice(token_choices))))
    return sorted(arrivals, key=lambda each: each[0])


def request_bytes(outcome, service, timeout_ms):
    body = json.dumps({"model": service, "stream": True, "max_tokens": outcome.tokens,
                       "messages": [{"role": "user", "content": outcome.prompt}]})
    return ("POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1\r\n"
            f"Authorization: Bearer {key_of(outcome.workspace)}\r\n"
            f"X-Request-Timeout-Ms: {timeout_ms}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}").encode()


async def read_pieces(reader, headers):
    """Yields the body in the pieces in which it comes."""
    if headers.get("transfer-encoding") != "chunked":
        yield await reader.read(-1 if "content-length" not in headers
                                else int(headers["content-length"]))
        return
    while size := int(await reader.readline(), 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_head(reader):
    status = int((await reader.readline()).split()[1])
    headers = {}
    while (line := (await reader.readline()).decode().strip()):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return status, headers


def take_event(outcome, line):
    if not line.startswith(b"data: "):
        return
    if line == b"data: [DONE]":
        outcome.is_done = True
        return
    event = json.loads(line[6:])
    if "error" in event:
        outcome.failure = event["error"]
        return
    piece = event["choices"][0]["delta"].get("content", "")
    if piece:
        outcome.text += piece
        outcome.times.append(time.monotonic())


async def read_answer(reader, outcome):
    outcome.status, headers = await read_head(reader)
    rest = b""
    async for piece in read_pieces(reader, headers):
        *lines, rest = (rest + piece).split(b"\n")
        if outcome.status == 200:
            for line in lines:
                take_event(outcome, line.rstrip(b"\r"))
        else:
            rest = b"\n".join(lines + [rest])
    if outcome.status != 200:
        outcome.refusal = json.loads(rest)["error"]


async def call(port, service, outcome, timeout_ms):
    outcome.sent = time.monotonic()
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes(outcome, service, timeout_ms))
        await asyncio.wait_for(read_answer(reader, outcome), SILENCE_LIMIT_S)
    except Exception as failure:
        outcome.failure = f"{type(failure).__name__}: {failure}"
    finally:
        if writer:
            writer.close()


async def _offer(port, service, arrivals, timeout_ms):
    started = time.monotonic()
    tasks = []
    for at, outcome in arrivals:
        await asyncio.sleep(max(0.0, started + at - time.monotonic()))
        tasks.append(asyncio.create_task(call(port, service, outcome, timeout_ms)))
    lag = time.monotonic() - started - (arrivals[-1][0] if arrivals else 0)
    await asyncio.gather(*tasks)
    return started, lag


def offer(port, service, arrivals, timeout_ms):
    """Offers the load; gives when it began and how late the last was sent."""
    return asyncio.run(_offer(port, service, arrivals, timeout_ms))
