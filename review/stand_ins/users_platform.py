"""The users' store and their engines, by PROTOCOL.md."""

import asyncio
import json
import time

from messages import Server, note, read_body, read_head, render

PAGE = 500


class Store:
    """Objects with revisions, lists, and watches that may be cut off."""

    def __init__(self):
        self.server = Server(self.serve)
        self.revision = 10
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()
        self.watches = set()
        self.calls = []

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["create-revision"] if known else self.revision
        objects[name] = {"metadata": {"name": name, "revision": self.revision,
                                      "create-revision": created, "finalizers": [],
                                      "deleting": False},
                         "spec": spec, "status": None}
        self.note(kind, objects[name], False)
        return objects[name]

    def delete(self, kind, name):
        """Returns when the store has acknowledged the removal."""
        known = self.kinds.get(kind, {}).pop(name, None)
        if known:
            self.revision += 1
            self.note(kind, known, True)
        return time.monotonic()

    def note(self, kind, known, is_deleted):
        self.history.append((self.revision, kind, {"object": json.loads(json.dumps(known)),
                                                   "deleted": is_deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self, kind):
        """Cuts off the watches of a kind that are waiting; returns how many."""
        cut = [each for each in self.watches if each[0] == kind]
        for _, writer in cut:
            writer.transport.abort()
        return len(cut)

    async def serve(self, reader, writer):
        while (call := await read_head(reader)) is not None:
            if not await read_body(reader, call):
                return
            status, body = await self.answer(call, writer)
            writer.write(render(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")],
                                json.dumps(body).encode()))
            await writer.drain()

    async def answer(self, call, writer):
        method, target, _ = call.first.split()
        self.calls.append((time.monotonic(), method, target))
        path, _, query = target.partition("?")
        values = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.split("/")[2:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in values:
            return await self.watch(kind, int(values["watch"]), int(values["wait-ms"]), writer)
        if method == "GET" and not name:
            names = sorted(each for each in objects if each > values.get("after", ""))
            return 200, {"items": [objects[each] for each in names[:PAGE]],
                         "has-more": len(names) > PAGE, "store-revision": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        document = json.loads(call.body)
        if method == "POST":
            name = document["metadata"]["name"]
            return (409, objects[name]) if name in objects \
                else (200, self.put(kind, name, document["spec"]))
        wanted = document["metadata"].get("revision")
        if wanted is not None and name not in objects:
            return 404, {}
        if wanted is not None and wanted != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        return 200, self.put(kind, name, document["spec"])

    async def watch(self, kind, revision, wait_ms, writer):
        end = time.monotonic() + wait_ms / 1000
        mark = (kind, writer)
        self.watches.add(mark)
        try:
            while True:
                events = [event for at, of, event in self.history if at > revision and of == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store-revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watches.discard(mark)


class Engine:
    """What all engines have in common: an entry in the store, an address, and
    the record of what arrived. Requests run in a coroutine of the subclass."""

    def __init__(self, store, name, service, zone, slots=16):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.server = Server(self.serve)
        self.arrivals = []
        self.heartbeat = None
        self.beat_s = 1.2
        self.sequence = 0

    def entry(self):
        return {"service": self.service, "address": self.server.address, "zone": self.zone,
                "version": "v1", "batch-slots": self.slots, "state": "ready",
                "cold-remaining-ms": 0, "sequence": self.sequence, "born": self.born}

    async def open(self, port=0):
        await self.server.open(port)
        self.register()

    def register(self):
        """The entry changes when more than its sequence changes."""
        self.sequence += 1
        self.store.put("servers", self.name, self.entry())

    def crash(self):
        """Ends the engine. Its entry stays until the store misses three beats."""
        self.server.close()

    def runs(self):
        return [each[1] for each in self.arrivals]

    async def serve(self, reader, writer):
        while (call := await read_head(reader)) is not None:
            if not await read_body(reader, call):
                return
            if not await self.answer(call, writer):
                return

    async def answer(self, call, writer):
        """Answers one call. Returns whether the connection stays."""
        request_id = call.field("auburnlb-request-id", "")
        wanted = call.field("auburnlb-expect-instance")
        if not request_id or (wanted is not None and wanted != self.name):
            status = 421 if request_id else 400
            note(f"{self.name} rejects {request_id} with {status}")
            writer.write(render(f"HTTP/1.1 {status} X", [("Auburnlb-Not-Executed", "1"),
                                                         ("Auburnlb-Request-Id", request_id)]))
            return True
        note(f"{self.name} runs {request_id}")
        self.arrivals.append((time.monotonic(), request_id))
        stays = await self.run(call, request_id, writer)
        note(f"{self.name} ends {request_id}, connection {'kept' if stays else 'closed'}")
        return stays

    async def run(self, call, request_id, writer):
        raise NotImplementedError


def stamped(request_id, text):
    return render("HTTP/1.1 200 OK", [("Auburnlb-Request-Id", request_id),
                                      ("Auburnlb-Response-Stamp", f"stamp-{request_id}")],
                  text.encode())


class Desk(Engine):
    """A plain service; a request takes work_s."""

    work_s = 0.015

    async def run(self, call, request_id, writer):
        await asyncio.sleep(self.work_s)
        writer.write(stamped(request_id, f"ran {request_id}"))
        return True


class Writer(Engine):
    """An engine of a split model: orders, reports and streams of events."""

    gap_s = 0.02
    load_s = 0.1
    stall_s = 3.0
    # All engines that run, by their address.
    alive = {}

    def __init__(self, store, name, service, zone, card, card_mb, layer_mb, events=40):
        super().__init__(store, name, service, zone)
        self.card, self.card_mb, self.layer_mb, self.events = card, card_mb, layer_mb, events
        self.layers = None
        self.is_busy = False
        self.orders = []

    def entry(self):
        value = {**super().entry(), "kind": self.card}
        if self.layers:
            value["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return value

    async def answer(self, call, writer):
        path = call.first.split()[1]
        if path == "/report":
            report = {"stage": "both", "models": [], "born": self.born, "busy": self.is_busy,
                      "sequence": len(self.orders), "queued": 0, "running": 0, "kind": self.card}
            if self.layers:
                report["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
            writer.write(render("HTTP/1.1 200 OK", [("Content-Type", "application/json")],
                                json.dumps(report).encode()))
            return True
        if path == "/order":
            return self.order(call, writer)
        return await super().answer(call, writer)

    def order(self, call, writer):
        wanted = call.field("auburnlb-expect-instance")
        order = json.loads(call.body)
        status = 202
        if wanted is not None and wanted != self.name:
            status = 421
        elif self.is_busy or order.get("expect", len(self.orders)) != len(self.orders):
            status = 409
        self.note_order(order, status)
        if status == 202:
            self.orders.append(order)
            needed = (order["to"] - order["from"]) * self.layer_mb
            if needed > self.card_mb:
                self.crash()
                return False
            self.is_busy = True
            asyncio.get_running_loop().create_task(self.load(order["from"], order["to"]))
        writer.write(render(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], b"{}"))
        return True

    def note_order(self, order, status):
        """Told of each order; a case may record it."""

    async def open(self, port=0):
        await super().open(port)
        Writer.alive[self.server.address] = self

    def crash(self):
        if Writer.alive.get(self.server.address) is self:
            del Writer.alive[self.server.address]
        super().crash()

    def missing_part(self, call):
        """The first part of the request's path that doesn't hold its layers."""
        for part in call.field("auburnlb-hop-count", "").split(","):
            address, equals, layers = part.partition("=")
            first, _, end = layers.partition("-")
            engine = Writer.alive.get(address)
            held = engine.layers if engine else None
            if equals and (held is None or int(first) < held[0] or int(end) > held[1]):
                return address, engine
        return None, None

    async def load(self, first, end):
        await asyncio.sleep(self.load_s)
        self.is_busy = False
        self.layers = (first, end)
        if self.server.listener.is_serving():
            self.register()

    async def run(self, call, request_id, writer):
        first = int(call.field("last-event-id", "0")) + 1
        address, engine = self.missing_part(call)
        if engine is not None:
            writer.write(render("HTTP/1.1 421 X", [("Auburnlb-Not-Executed", "1"),
                                                   ("Auburnlb-Request-Id", request_id),
                                                   ("At-Server", address)]))
            return True
        writer.write(self.stream_head(request_id))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            stalled_since = time.monotonic()
            while self.missing_part(call)[0]:
                await asyncio.sleep(self.gap_s)
                if time.monotonic() - stalled_since > self.stall_s or writer.is_closing():
                    writer.transport.abort()
                    return False
            if writer.is_closing():
                return False
            self.write_chunk(writer, f"id: {number}\ndata: piece-{number}\n\n".encode())
        writer.write(b"0\r\n\r\n")
        return True

    @staticmethod
    def stream_head(request_id):
        return (f"HTTP/1.1 200 OK\r\nAuburnlb-Request-Id: {request_id}\r\n"
                f"Auburnlb-Response-Stamp: stamp-{request_id}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode()

    @staticmethod
    def write_chunk(writer, data):
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
