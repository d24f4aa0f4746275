"""An engine whose answer goes on without end, in comment lines that no blank line ends."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins-2"))

from stand_ins import (TROUBLE, CannotRun, Client, ModelEngine, PlainService, Store, abort,
                       configuration, model_service, plain_route, plain_service, run_case,
                       send_once, stream_headers, stream_route)

ZONES = ("ahmedabad", "surat", "rajkot")
MODEL = "huvo11a"
DESK = "wuno96b"
TIMEOUT_MS = 1200
DEADLINE_MS = 2500
# Beside the bad answers, each machine gets so many calls, one after the other at this pace.
CALLS = 200
PACE_S = 0.1


class EndlessEngine(ModelEngine):
    """May answer a stream with bytes that are no events, until its caller closes."""

    bad_answers = 0

    async def run(self, message, reader, writer):
        if self.bad_answers == 0:
            return await super().run(message, reader, writer)
        self.bad_answers -= 1
        self.note_run(message)
        request_id = message.get("Auburnlb-Request-Id")
        self.record.write(f"endless {self.id} {request_id}")
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"Auburnlb-Request-Id: {request_id}\r\n"
                      f"Auburnlb-Response-Stamp: {self.id}.{request_id}\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        sent = 0
        try:
            while not writer.transport.is_closing():
                writer.write(b"2\r\n:\n\r\n" * 1000)
                sent += 2000
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        self.record.write(f"closed by its caller after {sent} bytes: {self.id} {request_id}")
        abort(writer)
        return False


async def call(router, record, request_id, answers):
    client = Client(router, record)
    answers.append((router, await client.send("GET", "/cufi504/2f", request_id, [], b"",
                                              DEADLINE_MS)))
    client.close()


async def case(record, add_router):
    store = Store(record)
    fleet = {}
    engines = []
    for index in range(9):
        engine = EndlessEngine(store, record, f"i-{index:08x}", MODEL, ZONES[index % 3], "a100",
                               fleet)
        await engine.start()
        engines.append(engine)
    for index in range(3):
        await PlainService(store, record, f"i-d{index:07x}", DESK, ZONES[index], 6).start()
    routes = [stream_route("r-2yhvz3p", "/lohu930/", MODEL),
              plain_route("r-cufi504", "/cufi504/", DESK, "safe", 2,
                          **{"timeout-ms": TIMEOUT_MS, "latency-target-ms": 150})]
    await store.put("config", "main",
                    configuration(1, routes, [model_service(MODEL), plain_service(DESK)]))
    routers = [add_router(f"front-{zone}-1", zone, (await store.add_door()).address)
               for zone in ZONES]
    seeds = [f"127.0.0.1:{each.control}" for each in routers]
    for router in routers:
        router.start(seeds)
    for router in routers:
        await router.wait_ready()
    until = time.monotonic() + 15
    while not (await send_once(routers[0], record, "POST", "/lohu930/2f", "probe",
                               stream_headers(), b"{}")).is_whole:
        if time.monotonic() > until:
            raise CannotRun("no stream is served")
        await asyncio.sleep(0.2)
    # All machines are in touch from here on.
    await asyncio.sleep(4)
    answers = []
    tasks = []
    streams = []
    for turn in range(CALLS):
        for router in routers:
            tasks.append(asyncio.create_task(call(router, record, f"c{turn}-{router.name}",
                                                  answers)))
        if turn == 20:
            if TROUBLE:
                # One answer of the engine at which the paths of this zone begin is bad.
                for engine in engines:
                    begins_path = engine.layers is not None and engine.layers[0] == 0
                    if begins_path and engine.zone == ZONES[0]:
                        engine.bad_answers = 1
            streams.append(asyncio.create_task(send_once(
                routers[0], record, "POST", "/lohu930/2f", "s0", stream_headers(), b"{}")))
        await asyncio.sleep(PACE_S)
    await asyncio.gather(*tasks, *streams)
    for router in routers:
        if router.process.poll() is not None:
            record.write(f"{router.name} has ended by itself")
    late = [(router, each) for router, each in answers
            if not each.is_whole or each.ended_at - each.sent_at > TIMEOUT_MS / 1000]
    unanswered = [(router, each) for router, each in late
                  if not each.is_whole or each.ended_at - each.sent_at > TIMEOUT_MS / 1000 + 0.5]
    for router, each in unanswered:
        record.write(f"no answer 0.5 s after the timeout: {each.id} at {router.name}")
    print(f"{len(answers)} calls; {len(late)} unanswered at their route's timeout, "
          f"{len(unanswered)} of these 0.5 s later too")
    return len(unanswered) < 8 or len(unanswered) * 2 <= len(late)


if __name__ == "__main__":
    run_case(case, FOLDER)
