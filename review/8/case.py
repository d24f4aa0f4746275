"""Streams on a service without layers, whose servers fall silent for a second and go on."""

import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins-2"))

from stand_ins import (TROUBLE, CannotRun, Store, StreamService, configuration,
                       event_text, plain_service, send_once, stream_headers, stream_route)

ZONES = ("ahmedabad", "surat", "rajkot")
SERVICE = "wuno96b"
MAX_ATTEMPTS = 2
# More than three requests on more servers than that break the rule.
ALLOWED_REQUESTS = 3
SILENCE_S = 1.0
ROUNDS = 4
STREAMS_PER_ROUND = 6


class PausingService(StreamService):
    """Falls silent before the next event for as long as the case says."""

    silent_until = 0.0

    def pause(self):
        self.silent_until = time.monotonic() + SILENCE_S
        self.record.write(f"silent {self.id}")

    async def run(self, message, reader, writer):
        self.note_run(message)
        request_id = message.get("Auburnlb-Request-Id")
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"Auburnlb-Request-Id: {request_id}\r\n"
                      f"Auburnlb-Response-Stamp: {self.id}.{request_id}\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(message.get("Last-Event-Id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            while time.monotonic() < self.silent_until:
                await asyncio.sleep(0.005)
                if reader.at_eof():
                    break
            if writer.transport.is_closing() or reader.at_eof():
                self.record.write(f"cancelled {self.id} {request_id}")
                return False
            piece = event_text(number).encode()
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def case(record, add_router):
    store = Store(record)
    servers = []
    for index in range(6):
        server = PausingService(store, record, f"i-{index:08x}", SERVICE, ZONES[index % 3], 6)
        await server.start()
        servers.append(server)
    route = stream_route("r-2yhvz3p", "/lohu930/", SERVICE, **{"max-attempts": MAX_ATTEMPTS})
    await store.put("config", "main", configuration(1, [route], [plain_service(SERVICE)]))
    routers = [add_router(f"front-{zone}-1", zone, (await store.add_door()).address)
               for zone in ZONES]
    seeds = [f"127.0.0.1:{each.control}" for each in routers]
    for router in routers:
        router.start(seeds)
    for router in routers:
        await router.wait_ready()
    # All machines are in touch from here on.
    await asyncio.sleep(4)
    answers = []
    for turn in range(ROUNDS):
        streams = [asyncio.create_task(send_once(
            routers[index % 3], record, "POST", "/lohu930/2f", f"r{turn}-{index}",
            stream_headers(), b"{}")) for index in range(STREAMS_PER_ROUND)]
        await asyncio.sleep(0.4)
        if TROUBLE:
            for server in servers:
                server.pause()
        answers += await asyncio.gather(*streams)
        await asyncio.sleep(3)
    if any(not each.is_whole for each in answers) and not TROUBLE:
        raise CannotRun("a stream broke without a disruption")
    ran_on = collections.defaultdict(set)
    for server in servers:
        for request_id in server.runs:
            ran_on[request_id].add(server.id)
    beyond = {name: sorted(ids) for name, ids in sorted(ran_on.items())
              if len(ids) > MAX_ATTEMPTS}
    for name, ids in beyond.items():
        record.write(f"beyond max-attempts: {name} ran on {len(ids)}: {' '.join(ids)}")
    print(f"{len(answers)} requests, {sum(each.is_whole for each in answers)} whole; "
          f"{len(beyond)} ran on more than {MAX_ATTEMPTS} servers "
          f"({ALLOWED_REQUESTS} are allowed), one on {max(map(len, ran_on.values()))}")
    return len(beyond) <= ALLOWED_REQUESTS


if __name__ == "__main__":
    from stand_ins import run_case
    run_case(case, FOLDER)
