"""Stand-ins for the platform around one umberloom server, after PROTOCOL.md and DEPLOY.md.

Everything runs in one asyncio loop on loopback addresses with free ports and the real clock: the render farm agent,
the records service, the announce service and connections of balancers. The server is started as a separate process
with the `run` command of deploy/balancer.toml.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def die_with_parent():
    """Lets the server be killed if this process ends in whatever way (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class NotRun(Exception):
    """The case could not be run, so it says nothing about the rule."""


def run_command():
    """The `run` command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.startswith("run ="):
                return line.split("=", 1)[1].strip().strip('"')
    raise NotRun("deploy/balancer.toml has no `run`")


class Record:
    """record.txt of a case: what was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")
        self.file.flush()


def unix_ms():
    return int(time.time() * 1000)


# --------------------------------------------------------------------------------------------------------- the server


class Server:
    """One server process. Its configuration file can be replaced while it runs."""

    def __init__(self, record, config, name="n1"):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="umberloom-review-")
        self.config_file = os.path.join(self.folder, "config.json")
        self.config = config
        self.name = name
        self.process = None
        self.log = None

    def write_config(self):
        temporary = self.config_file + ".new"
        with open(temporary, "w") as file:
            json.dump(self.config, file)
        os.replace(temporary, self.config_file)

    async def start(self):
        self.write_config()
        scratch = os.path.join(self.folder, "tmp")
        os.makedirs(scratch, exist_ok=True)
        env = dict(os.environ, BALANCER_NAME=self.config["name"], BALANCER_LISTEN=self.config["listen"],
                   BALANCER_CONFIG=self.config_file, TMPDIR=scratch)
        self.log = open(os.path.join(self.folder, "log.txt"), "w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, preexec_fn=die_with_parent)
        self.record.write(f"server: started, pid {self.process.pid}")

    def signal(self, number):
        self.record.write(f"server: {signal.Signals(number).name} sent")
        self.process.send_signal(number)

    async def stop(self):
        """Ends the process if it still runs, and removes its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        if self.log is not None:
            self.log.close()
            with open(os.path.join(self.folder, "log.txt")) as file:
                for line in file.read().splitlines()[-40:]:
                    self.record.write(f"server log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


# ---------------------------------------------------------------------------------------------------------- the agent


class Run:
    def __init__(self, request_id, class_name, body):
        self.id = request_id
        self.class_name = class_name
        self.body = body
        # Number of the notice whose call the run waits for; None while it waits for none.
        self.waits_for = None
        self.delivered = None
        self.calls = []  # (number of the notice, body of the call, reply or None if it went on without)
        self.task = None


class Agent:
    """The render farm agent. `plan(run)` is a coroutine that makes the run's calls and returns its result."""

    def __init__(self, record, world, plan):
        self.record = record
        self.world = world
        self.plan = plan
        self.seq = 0
        self.notices = []  # (seq, line)
        self.writer = None
        self.links = 0
        self.runs = {}
        self.started_runs = []  # every run that was started, in order
        self.ended = set()
        self.started = time.monotonic()
        self.listeners = []
        self.address = None
        self.tick = None  # commands are handled in batches, this many seconds apart; None: at once
        self.gap = lambda: None  # the seconds between the two pieces in which a notice is written; None: whole

    async def listen(self):
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.listeners.append(listener)
        self.address = "127.0.0.1:%d" % listener.sockets[0].getsockname()[1]
        return self.address

    async def serve(self, reader, writer):
        greeted = False
        writer.lines = asyncio.Queue()
        writing = asyncio.ensure_future(self.write_lines(writer))
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    return
                command = json.loads(line)
                if not greeted:
                    if command["op"] != "subscribe":
                        return
                    greeted = True
                    if self.writer is not None:
                        self.writer.close()
                    self.writer = writer
                    self.links += 1
                    self.record.write(f"agent: link {self.links} subscribed after notice {command['seq']}")
                    self.write(writer, {"op": "greeting", "end": "running",
                                        "ms": int((time.monotonic() - self.started) * 1000) + 60000})
                    for seq, notice in self.notices:
                        if seq > command["seq"]:
                            self.write(writer, notice)
                elif self.writer is writer:
                    if self.tick is not None:
                        await asyncio.sleep(self.tick - time.monotonic() % self.tick)
                    self.handle(writer, command)
                else:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if self.writer is writer:
                self.writer = None
            writing.cancel()
            writer.close()

    def write(self, writer, message):
        """Queues one line on a link."""
        writer.lines.put_nowait((json.dumps(message) + "\n").encode())

    async def write_lines(self, writer):
        """Writes the queued lines of a link, each whole or in two pieces."""
        try:
            while True:
                line = await writer.lines.get()
                gap = self.gap()
                if gap is not None:
                    writer.write(line[: len(line) // 2])
                    await asyncio.sleep(gap)
                    line = line[len(line) // 2:]
                writer.write(line)
                await writer.drain()
        except (ConnectionError, RuntimeError):
            pass

    def notify(self, message):
        self.seq += 1
        message = dict(message, seq=self.seq)
        self.notices.append((self.seq, message))
        del self.notices[:-4000]
        if self.writer is not None:
            self.write(self.writer, message)
        return message["seq"]

    def refuse(self, writer, op, request_id):
        self.record.write(f"agent: refused {op} of {request_id}")
        self.write(writer, {"op": "refusal", "end": op, "id": request_id})

    def handle(self, writer, command):
        op, request_id = command["op"], command.get("id", "")
        run = self.runs.get(request_id)
        if op == "sample":
            self.write(writer, {"op": "sampled", "tag": command["tag"],
                                      "values": [min(1.0, len(self.runs) / 6), len(self.runs), 0.1, 3]})
        elif op == "exercise":
            self.write(writer, {"op": "exercised", "tag": command["tag"], "end": "fine"})
        elif op == "launch":
            body = base64.b64decode(command["body"])
            if not self.world.knows(request_id, command["class"], body):
                self.refuse(writer, op, request_id)
            elif run is not None:
                self.record.write(f"agent: launch of {request_id}, which runs already")
            elif self.world.is_over(request_id):
                self.record.write(f"agent: launch of {request_id}, which is over")
                self.notify({"op": "outcome", "id": request_id, "end": "late", "ms": 0, "body": ""})
            else:
                run = Run(request_id, command["class"], body)
                self.runs[request_id] = run
                self.started_runs.append(run)
                self.record.write(f"agent: run of {request_id} started")
                run.task = asyncio.ensure_future(self.carry_out(run))
        elif op == "deliver":
            self.last_deliver = time.monotonic()
            if run is None or run.waits_for is None:
                self.refuse(writer, op, request_id)
            else:
                self.go_on(run, base64.b64decode(command["body"]))
        elif op == "forgo":
            if run is None or run.waits_for != command["seq"]:
                self.refuse(writer, op, request_id)
            else:
                self.go_on(run, None)
        elif op == "freeze":
            if run is not None:
                self.break_off(run)
            else:
                self.refuse(writer, op, request_id)
        else:
            self.refuse(writer, op, request_id)

    def go_on(self, run, reply):
        what = "went on without" if reply is None else f"got the reply {reply.decode(errors='replace')!r} to"
        self.record.write(f"agent: run of {run.id} {what} the call of notice {run.waits_for}")
        run.waits_for = None
        run.delivered.set_result(reply)

    async def call(self, run, body):
        """The run waits for a call with this body; returns the reply, None if it is to go on without."""
        run.delivered = asyncio.get_running_loop().create_future()
        seq = self.seq + 1
        run.waits_for = seq
        self.record.write(f"agent: run of {run.id} waits for the call {body.decode()!r}, notice {seq}")
        self.notify({"op": "request", "id": run.id, "body": base64.b64encode(body).decode()})
        reply = await run.delivered
        run.calls.append((seq, body, reply))
        return reply

    async def carry_out(self, run):
        begun = time.monotonic()
        try:
            result = await self.plan(run)
        except asyncio.CancelledError:
            return
        self.runs.pop(run.id, None)
        self.ended.add(run.id)
        self.world.results.setdefault(run.id, []).append(result)
        self.record.write(f"agent: run of {run.id} ended")
        self.notify({"op": "outcome", "id": run.id, "end": "fine",
                           "ms": (time.monotonic() - begun) * 1000, "body": base64.b64encode(result).decode()})

    def break_off(self, run):
        self.record.write(f"agent: run of {run.id} broken off")
        self.runs.pop(run.id, None)
        run.task.cancel()
        self.notify({"op": "outcome", "id": run.id, "end": "broken_off", "ms": 0, "body": ""})

    def request_over(self, request_id):
        """The platform tells the agent that a request has its final answer: a run at a call ends."""
        run = self.runs.get(request_id)
        if run is not None and run.waits_for is not None:
            self.break_off(run)

    def break_link(self):
        if self.writer is not None:
            self.record.write(f"agent: link {self.links} broken")
            self.writer.transport.abort()
            self.writer = None


# ------------------------------------------------------------------------------------------- the records service


class Records:
    """The records service. `answer(call)` is a coroutine that returns the body of the reply."""

    def __init__(self, record, agent, answer, latency):
        self.record = record
        self.agent = agent
        self.answer = answer
        self.latency = latency
        self.calls = []  # (request id, body, reply)
        self.after_reply = None  # async function(writer, reply bytes) called after each reply
        self.connections = 0

    async def listen(self):
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % listener.sockets[0].getsockname()[1]
        return self.address

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            while True:
                try:
                    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
                except asyncio.TimeoutError:
                    return
                headers = {}
                for line in head.decode().split("\r\n")[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers["content-length"]))
                request_id = headers["op-of"]
                run = self.agent.runs.get(request_id)
                waiting = run is not None and run.waits_for is not None
                self.record.write(f"records: call {body.decode()!r} of {request_id} on connection {number}")
                if not waiting:
                    reply = b"HTTP/1.1 409 Conflict\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n"
                    writer.write(reply)
                    await writer.drain()
                    continue
                await asyncio.sleep(self.latency())
                content = await self.answer(request_id, body)
                self.calls.append((request_id, body, content))
                reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(content), content)
                writer.write(reply)
                await writer.drain()
                self.record.write(f"records: replied {content.decode()!r} on connection {number}")
                if self.after_reply is not None:
                    await self.after_reply(number, writer, reply)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------------------------------------- the announce service


class Announce:
    """The announce service: confirms every report."""

    def __init__(self, record):
        self.record = record
        self.accepting = None

    async def listen(self):
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % listener.sockets[0].getsockname()[1]
        return self.address

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = [line for line in head.decode().lower().split("\r\n") if line.startswith("content-length")]
                body = await reader.readexactly(int(length[0].split(":")[1]))
                accepting = json.loads(body)["accepting"]
                if accepting != self.accepting:
                    self.record.write(f"announce: the server reports accepting {accepting}")
                    self.accepting = accepting
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------------------------------------------------- balancers

BEGIN, END, PARAMS, STDIN, STDOUT = 1, 3, 4, 5, 6


def encode_record(kind, slot, content):
    padding = -len(content) % 8
    return bytes([1, kind]) + slot.to_bytes(2, "big") + len(content).to_bytes(2, "big") \
        + bytes([padding, 0]) + content + bytes(padding)


def encode_pair(name, value):
    out = b""
    for text in (name, value):
        out += bytes([len(text)]) if len(text) < 128 else (len(text) | 0x80000000).to_bytes(4, "big")
    return out + name + value


class Request:
    """A request of a balancer and what became of it. Times are Unix times in seconds."""

    def __init__(self, class_name, body, due_ms, fields=None, budget_ms=None, footprint_kb=24.5, rank=0.5):
        self.id = "%016x" % random.getrandbits(64)
        self.class_name = class_name
        self.body = body
        self.due_ms = due_ms
        self.budget_ms = budget_ms
        self.fields = dict(fields or {})
        self.footprint_kb = footprint_kb
        self.rank = rank
        self.received_at = None
        self.written_at = None
        self.answered_at = None
        self.status = None  # 200, 503 …; "overloaded"; "closed" if the connection ended without an answer
        self.answers = 0
        self.result = None
        self.done = asyncio.Event()

    def encode(self, slot):
        """The records of the request. The time at which it reaches the machine is now."""
        self.received_at = unix_ms()
        fields = {"REQUEST_METHOD": "POST", "SCRIPT_NAME": f"/svc/{self.class_name}", "HTTP_REQUEST_ID": self.id,
                  "HTTP_RECEIVED_AT": str(self.received_at), "HTTP_SENT_BY": "4",
                  "HTTP_FOOTPRINT_KB": str(self.footprint_kb), "HTTP_PRIORITY_RANK": f"{self.rank:.4f}"}
        if self.budget_ms is not None:
            fields["HTTP_BUDGET_MS"] = str(self.budget_ms)
        fields.update(self.fields)
        params = b"".join(encode_pair(name.encode(), value.encode()) for name, value in fields.items())
        return [encode_record(BEGIN, slot, bytes([0, 1, 1, 0, 0, 0, 0, 0])), encode_record(PARAMS, slot, params),
                encode_record(PARAMS, slot, b""), encode_record(STDIN, slot, self.body),
                encode_record(STDIN, slot, b"")]

    @property
    def due_at(self):
        return (self.received_at + self.due_ms) / 1000

    def outcome(self):
        if self.answered_at is None:
            return "no answer"
        return f"{self.status} after {(self.answered_at - self.received_at / 1000) * 1000:.0f} ms"


class World:
    """The requests that were sent, for the agent and for the check."""

    def __init__(self):
        self.requests = {}
        self.results = {}  # results that runs made, by request id
        self.agent = None

    def knows(self, request_id, class_name, body):
        request = self.requests.get(request_id)
        return request is not None and request.class_name == class_name and request.body == body

    def is_over(self, request_id):
        return self.requests[request_id].answered_at is not None


class Connection:
    """One connection of a balancer, which keeps up to 32 requests open on it."""

    def __init__(self, record, world, address):
        self.record = record
        self.world = world
        self.address = address
        self.open = {}
        self.answers = 0
        self.closed = asyncio.Event()
        self.closed_at = None
        self.lock = asyncio.Lock()

    async def connect(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.task = asyncio.ensure_future(self.read())
        return self

    def free_slot(self):
        return next(slot for slot in range(1, 33) if slot not in self.open)

    async def send(self, *requests):
        """Writes requests whole, all at once."""
        async with self.lock:
            data = b""
            others, answers = len(self.open), self.answers
            for request in requests:
                # What was open and answered on the connection before, for the check.
                request.connection, request.others, request.answers_before = self, others, answers
                slot = self.free_slot()
                self.open[slot] = request
                self.world.requests[request.id] = request
                data += b"".join(request.encode(slot))
            self.writer.write(data)
            await self.writer.drain()
            for request in requests:
                request.written_at = time.time()
                self.record.write(f"balancer: {request.id} sent, class {request.class_name}, "
                                  f"body {request.body[:40].decode()!r}")

    async def read(self):
        output = {}
        try:
            while True:
                header = await self.reader.readexactly(8)
                slot = int.from_bytes(header[2:4], "big")
                content = await self.reader.readexactly(int.from_bytes(header[4:6], "big"))
                await self.reader.readexactly(header[6])
                if header[1] == STDOUT:
                    output[slot] = output.get(slot, b"") + content
                elif header[1] == END and slot in self.open:
                    self.finish(slot, output.pop(slot, b""), content[4])
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        for request in list(self.open.values()):
            self.record.write(f"balancer: the connection ended, {request.id} is open on it")
            request.status = "closed"
            request.done.set()
        self.closed_at = time.time()
        self.closed.set()

    def finish(self, slot, output, protocol_status):
        request = self.open.pop(slot)
        request.answers += 1
        self.answers += 1
        request.answered_at = time.time()
        if protocol_status == 2:
            request.status = "overloaded"
        else:
            head, _, body = output.partition(b"\r\n\r\n")
            request.status = int(head.split(b"\r\n")[0].split()[1])
            request.result = body
        shown = f", result {request.result.decode(errors='replace')!r}" if request.status == 200 else ""
        self.record.write(f"balancer: {request.id} answered: {request.outcome()}{shown}")
        request.done.set()
        if self.world.agent is not None:
            self.world.agent.request_over(request.id)

    def close(self):
        self.writer.close()


# ------------------------------------------------------------------------------------------------------ a small site


async def free_address():
    """An address of this machine that is free now."""
    listener = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    listener.close()
    await listener.wait_closed()
    return f"127.0.0.1:{port}"


def configuration(listen, agent, records, announce):
    """The configuration of one server of a small deployment: the project's example, after nairobi-desks."""
    with open(os.path.join(ROOT, "deploy", "example.json")) as file:
        config = json.load(file)
    config.update(listen=listen, agent=agent, records=records, announce=announce)
    return config


def lamp_configuration(listen, agent, records, announce):
    """The same with the classes and figures of luce-sicilia."""
    config = configuration(listen, agent, records, announce)
    settings = config["settings"]
    settings["classes"] = [
        {"name": "lamp-status", "aim_us": 4000000, "hard_limit_us": 11000000, "credit": 1.0, "late_worth": 0.1,
         "effect": "read_like", "repeat_window_us": 5000000},
        {"name": "dimming-set", "aim_us": 2600000, "hard_limit_us": 7900000, "credit": 2.0, "late_worth": 0.1,
         "effect": "read_like", "repeat_window_us": 5000000},
        {"name": "night-plan", "aim_us": 5300000, "hard_limit_us": 13000000, "credit": 5.0, "late_worth": 0.1,
         "effect": "read_like", "repeat_window_us": 5000000}]
    settings["family_info"].update(class_calls=[True, False, True], class_skip_worth=[0.6, 0.0, 0.3], run_factor=4.0,
                                   dep_share=8.0, n_cores=2)
    settings["guarantees"].update(fall_multiple=6.0, fall_us=3000000, grace_to_answer_us=100000)
    return config


async def wait_ready(announce):
    """Waits until the server reports that it takes work."""
    end = time.monotonic() + 30
    while time.monotonic() < end:
        if announce.accepting == "true":
            return
        await asyncio.sleep(0.05)
    raise NotRun("the server was not ready within 30 s")


def main(folder, case):
    """Runs `case(record)`, a coroutine that returns the list of broken rules, and exits with the result."""
    record = Record(folder)
    record.write(f"trouble: {'on' if TROUBLE else 'off'}")

    async def guarded():
        loop = asyncio.get_running_loop()
        # Stand-ins are interrupted at the end of a case: that is no event of the case.
        loop.set_exception_handler(lambda loop, context: None)
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await case(record)

    try:
        broken = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:  # the case says nothing about the rule
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        os._exit(NOT_RUN)
    for text in broken:
        record.write(f"BROKEN: {text}")
    record.write(f"result: {len(broken)} times broken")
    print(f"{len(broken)} times broken" if broken else "held")
    for text in broken[:5]:
        print(f"  {text}")
    sys.stdout.flush()
    os._exit(BROKEN if broken else HELD)
