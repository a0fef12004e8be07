"""Stand-ins for the platform's store, runners, the balancer's clients, and a
starter of entry hosts, for the scripts of this review.

They follow PROTOCOL.md and DEPLOY.md: the store keeps rows with versions and
answers feeds, a runner keeps leases, generation numbers and run numbers, and
clients speak HTTP/1.1. Everything listens on loopback addresses and free
ports, on the real clock, in one process with one event loop.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "repair-desk"
CONFIG_HOST = "desk.example"
PREFIX = "/q1/"
# Bounds and limits of the small site strapworks-sched.
HOLD_MAX_MS = 1000
STOP_MS = 50
DRAIN_MS = 2000
CANCEL_MS = 3000
CONTACT_MS = 3000
GRACE_S = 6
FAR_X = 1.5


class CannotRun(Exception):
    """The case could not be set up; exit code 2."""


class Record:
    """What was sent, answered and run, in the order of the events."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")
        self.broken = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, what, **fields):
        text = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        self.file.write(f"{self.now():9.3f} {who:10} {what} {text}\n")
        self.file.flush()

    def violation(self, text):
        self.broken.append(text)
        self.note("CHECK", "BROKEN " + text)

    def close(self):
        self.file.close()


def loopback():
    """Returns a loopback address that this run most likely has alone."""
    return ".".join(["127"] + [str(random.randint(1, 250)) for _ in range(3)])


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


# HTTP.

class HttpServer:
    """A small HTTP/1.1 server. The handler returns (status, object), or None
    to give no answer and close the channel."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, address, port):
        self.address = address
        for _ in range(50):
            try:
                self.server = await asyncio.start_server(
                    self.serve, address, port)
                break
            except OSError:
                if port == 0:
                    raise
                await asyncio.sleep(0.02)
        else:
            raise CannotRun(f"cannot listen on {address}:{port}")
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                first, headers, body = request
                method, path, _ = first.split(" ", 2)
                answer = await self.handler(method, path, headers, body)
                if answer is None:
                    break
                status, content = answer
                text = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def kill(self):
        """Ends like a killed process: stops listening, closes all channels."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


async def read_message(reader):
    head = b""
    while True:
        line = await reader.readline()
        if not line:
            return None
        head += line
        if line in (b"\r\n", b"\n"):
            if head.strip():
                break
            head = b""
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Reply:
    def __init__(self, status, body, headers):
        self.status, self.body, self.headers = status, body, headers

    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


async def call(address, port, method, path, body=None, headers=(), timeout=30):
    """One request on a new channel. Returns a Reply, or a text that says why
    there is none."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(address, port), 2)
        text = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {CONFIG_HOST}"]
        lines += [f"{k}: {v}" for k, v in headers]
        if body is not None:
            lines += ["Content-Type: application/json",
                      f"Content-Length: {len(text)}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
        await writer.drain()
        message = await asyncio.wait_for(read_message(reader), timeout)
        if message is None:
            return "channel closed"
        return Reply(int(message[0].split(" ")[1]), message[2], message[1])
    except asyncio.TimeoutError:
        return "no answer"
    except (OSError, asyncio.IncompleteReadError) as error:
        return f"channel broken ({type(error).__name__})"
    finally:
        if writer is not None:
            writer.close()


# The platform's store.

class Store:
    HISTORY = 100000

    def __init__(self, record):
        self.record = record
        self.version = 100
        self.rows = {}
        self.log = []
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.address = loopback()

    async def start(self):
        await self.http.listen(self.address, 0)

    @property
    def port(self):
        return self.http.port

    def put(self, table, key, value, raw=None):
        """Writes one row, as the operator or a runner does. Returns its
        version."""
        self.version += 1
        data = raw if raw is not None else json.dumps(value).encode()
        self.apply(table, key, base64.b64encode(data).decode())
        return self.version

    def drop(self, table, key):
        self.version += 1
        self.apply(table, key, None)

    def apply(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.log.append((self.version, table, key, value))
        del self.log[:-self.HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    def describe(self, table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    def answer(self, rows, **more):
        return 200, {"rows": rows, "ver": self.version,
                     "now_ms": int(time.monotonic() * 1000), **more}

    async def handle(self, method, path, headers, body):
        await asyncio.sleep(0.004)
        name, _, query = path.partition("?")
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if name == "/v1/rows-tx":
            return self.transact(json.loads(body))
        if name == "/v1/rows-get":
            start = args.get("from", "")
            rows = [self.describe(t, k, v, n)
                    for (t, k), (v, n) in sorted(self.rows.items())
                    if t == args["table"] and k >= start]
            return self.answer(rows[:500], has_more=len(rows) > 500)
        if name == "/v1/rows-feed":
            return await self.feed(args)
        return 404, {}

    async def feed(self, args):
        after = int(args["after"])
        until = time.monotonic() + int(args.get("wait_ms", "0")) / 1000
        while True:
            event = self.changed
            newest = {}
            for version, table, key, value in self.log:
                if table == args["table"] and version > after:
                    newest[key] = (version, value)
            if newest or time.monotonic() >= until:
                break
            try:
                await asyncio.wait_for(
                    event.wait(), max(0.0, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        rows = [self.describe(args["table"], key, value, version)
                for key, (version, value) in
                sorted(newest.items(), key=lambda item: item[1][0])]
        return self.answer(rows)

    def transact(self, tx):
        for row in tx.get("expect", []):
            present = self.rows.get((row["table"], row["key"]))
            if (present[1] if present else 0) != row["ver"]:
                rows = [self.describe(r["table"], r["key"],
                                      *self.rows[(r["table"], r["key"])])
                        for r in tx["expect"]
                        if (r["table"], r["key"]) in self.rows]
                return 412, {"rows": rows, "ver": self.version,
                             "now_ms": int(time.monotonic() * 1000)}
        for row in tx.get("set_keys", []) + tx.get("remove", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
        self.version += 1
        for row in tx.get("set_keys", []):
            self.apply(row["table"], row["key"], row["value"])
        for row in tx.get("remove", []):
            self.apply(row["table"], row["key"], None)
        return self.answer([])


# Runners.

class Run:
    def __init__(self, number, need, work_ms, began):
        self.number, self.need, self.work_ms = number, need, work_ms
        self.began = began
        self.stopping = False

    def percent(self, now):
        return min(100, int((now - self.began) * 1000 /
                            max(1, self.work_ms) * 100))


class Runner:
    """One address on which one life of a runner after the other serves."""

    def __init__(self, day, name, zone, cpu=16000, mem_mb=65536, kind="a",
                 rack="r1"):
        self.day, self.record, self.name, self.zone = day, day.record, name, zone
        self.cpu, self.mem_mb, self.kind, self.rack = cpu, mem_mb, kind, rack
        self.address = loopback()
        self.port = 0
        self.state = "ready"
        self.is_up = False
        self.heartbeat = None
        self.http = None
        self.seq = 0
        self.life = 0

    # Lives.

    async def start(self, **changes):
        """Begins a life, with a new kind or capacity if so asked."""
        for field, value in changes.items():
            setattr(self, field, value)
        self.life += 1
        self.steady = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.finished = {}
        self.ended = []
        self.next_end = 1
        self.seq = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        await self.http.listen(self.address, self.port)
        self.port = self.http.port
        self.is_up = True
        self.record.note(self.name, "starts", life=self.life, born=self.born,
                         kind=self.kind, cpu=self.cpu)
        self.register()
        self.heartbeat = asyncio.ensure_future(self.beat())
        self.lease_check = asyncio.ensure_future(self.check_lease())

    def kill(self):
        """A crash: nothing is sent, all channels break, runs are gone."""
        self.is_up = False
        self.heartbeat.cancel()
        self.lease_check.cancel()
        self.http.kill()
        for task, run in list(self.running.items()):
            self.day.run_gone(self, task, run, "crashed")
        self.running = {}
        self.record.note(self.name, "crashes", life=self.life)

    def entry(self):
        self.seq += 1
        return {"service": SERVICE, "addr": f"{self.address}:{self.port}",
                "zone": self.zone, "version": "1.0", "slots": 8,
                "state": self.state, "cold_left_ms": 0, "seq": self.seq,
                "born": self.born,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": [self.kind, self.rack]}

    def register(self):
        self.day.store.put("servers", self.name, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            self.register()

    # Time and leases.

    def clock_ms(self):
        return int((time.monotonic() - self.steady) * 1000)

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            self.lease_end = max(
                self.lease_end, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS))

    async def check_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.clock_ms() >= self.lease_end:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        self.finished[task] = max(self.finished.get(task, 0), run.number)
        self.ended.append([self.next_end, task, run.number, how, ""])
        self.next_end += 1
        self.day.run_gone(self, task, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls.

    async def handle(self, method, path, headers, body):
        life = self.life
        asked = headers.get("expect-instance")
        if asked is not None and asked != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = order.get("fence", 0)
        if path == "/v1/run-start":
            return self.run_start(order)
        if path == "/v1/run-stop":
            return self.run_stop(order)
        if path == "/v1/hold":
            answer = await self.hold(order)
            return answer if self.is_up and self.life == life else None
        return 400, {"clock_ms": self.clock_ms()}

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def run_start(self, order):
        task, number = order["task"], order["run"]
        there = self.running.get(task)
        if there is not None and there.number == number:
            self.extend(order["deadline_ms"])
            return 200, {"clock_ms": self.clock_ms()}
        if there is not None or number <= self.finished.get(task, 0):
            self.extend(order["deadline_ms"])
            return self.refuse("old")
        if order["deadline_ms"] <= self.clock_ms():
            return self.refuse("late")
        self.extend(order["deadline_ms"])
        need, work_ms = self.day.shape_of(task)
        run = Run(number, need, work_ms, time.monotonic())
        self.running[task] = run
        self.day.run_started(self, task, run, order)
        asyncio.get_running_loop().call_later(
            work_ms / 1000, self.finish, self.life, task, run)
        return 200, {"clock_ms": self.clock_ms()}

    def finish(self, life, task, run):
        if self.is_up and self.life == life and \
                self.running.get(task) is run and not run.stopping:
            self.end(task, "done")

    def run_stop(self, order):
        task, number = order["task"], order["run"]
        run = self.running.get(task)
        if run is not None and run.number <= number:
            if not run.stopping:
                run.stopping = True
                self.record.note(self.name, "stop", task=task, run=run.number)
                asyncio.get_running_loop().call_later(
                    STOP_MS * 0.8 / 1000, self.stopped, self.life, task, run)
        else:
            self.finished[task] = max(self.finished.get(task, 0), number)
        return 200, {"clock_ms": self.clock_ms()}

    def stopped(self, life, task, run):
        if self.is_up and self.life == life and self.running.get(task) is run:
            self.end(task, "stopped")

    async def hold(self, order):
        self.extend(order.get("deadline_ms"))
        cursor = order.get("ack_cursor", 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        until = time.monotonic() + order.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self.changed.wait(), max(0.0, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        return 200, {
            "clock_ms": self.clock_ms(), "born": self.born,
            "running": [[task, run.number, "", run.percent(now),
                         run.need["cpu"]]
                        for task, run in self.running.items()],
            "ended": self.ended[:500]}


# Entry hosts.

class EntryHost:
    """One chicorydrumd, started with the command of the deploy file."""

    def __init__(self, day, name, zone, share=0.25):
        self.day, self.record, self.name, self.zone = day, day.record, name, zone
        self.address = loopback()
        self.front, self.ready, self.control, self.first = (
            free_port(self.address) for _ in range(4))
        self.share = share
        self.process = None
        self.log = open(day.folder / f"{name}.log", "ab")

    def write_settings(self):
        fields = {
            "node": self.name, "zone": self.zone, "ip": self.address,
            "listen.front": f"{self.address}:{self.front}",
            "listen.ready": f"{self.address}:{self.ready}",
            "port_range.0": self.first,
            "platform.addr": f"{self.day.store.address}:{self.day.store.port}",
            "bounds.hold_max_ms": HOLD_MAX_MS, "bounds.grace_s": GRACE_S,
            "bounds.far_x": FAR_X, "limits.cpu_share": self.share,
            "limits.max_fds": 4100}
        text = self.day.template
        for name, value in fields.items():
            text = text.replace("{{" + name + "}}", str(value))
        if "{{" in text:
            raise CannotRun("the settings template has an unknown field")
        path = self.day.folder / f"{self.name}.conf"
        path.write_text(text)
        return path

    async def start(self):
        path = self.write_settings()
        environment = {"CHICORYDRUM_BOOT": str(path), "LANG": "C.UTF-8",
                       "PATH": os.environ["PATH"], "HOME": str(self.day.folder)}
        words = self.day.command.split()
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=self.log,
            stderr=self.log, stdin=asyncio.subprocess.DEVNULL)
        self.record.note(self.name, "started", pid=self.process.pid)

    def signal(self, number):
        self.record.note(self.name, "signal", number=int(number))
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        reply = await call(self.address, self.ready, "GET", "/v1/ready",
                           timeout=1)
        return isinstance(reply, Reply) and reply.status == 200

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended by itself at the start")
            if await self.is_ready():
                self.record.note(self.name, "ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self.log.close()


# A whole small deployment.

class Day:
    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.template = (ROOT / "deploy/settings.yaml").read_text()
        system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = system["roles"]["entry"]["run"]
        if not (ROOT / self.command.split()[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        self.store = Store(record)
        self.hosts, self.runners = [], []
        self.jobs = {}
        self.active = {}
        self.starts = []
        self.checks = []

    def host(self, name, zone, **options):
        self.hosts.append(EntryHost(self, name, zone, **options))
        return self.hosts[-1]

    def runner(self, name, zone, **options):
        self.runners.append(Runner(self, name, zone, **options))
        return self.runners[-1]

    async def start(self):
        await self.store.start()
        self.store.put("op", "config", {
            "version": 3,
            "routes": [{"name": "q1", "host": CONFIG_HOST, "prefix": PREFIX,
                        "service": SERVICE, "timeout_ms": 20000, "priority": 0,
                        "attempts": 4, "stretch": 1.6, "slo_ms": 60}],
            "services": [{"name": SERVICE, "admission_control": False}],
            "limits": {}})
        for runner in self.runners:
            await runner.start()
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def end(self):
        for host in self.hosts:
            await host.end()
        for runner in self.runners:
            if runner.is_up:
                runner.kill()
        self.store.http.kill()

    # Jobs.

    def new_job(self, steps, work_ms):
        """Returns the id of a new job whose tasks work for work_ms."""
        name = f"{random.getrandbits(64):016x}"
        self.jobs[name] = {"steps": steps, "work_ms": work_ms}
        return name

    def body_of(self, name):
        return {"spec": f"job {name}", "preemptible": True,
                "steps": self.jobs[name]["steps"]}

    async def post(self, name, host, deadline_ms, patience=None):
        """Hands a job in at a host and waits for its answer, by default a
        little longer than its deadline."""
        self.record.note("client", "POST", job=name, at=host.name)
        reply = await call(host.address, host.front, "POST", PREFIX + name,
                           self.body_of(name),
                           [("Deadline-Ms", str(deadline_ms))],
                           patience or deadline_ms / 1000 + 1)
        self.note_reply("POST", name, host, reply)
        return reply

    async def delete(self, name, host):
        self.record.note("client", "DELETE", job=name, at=host.name)
        reply = await call(host.address, host.front, "DELETE", PREFIX + name,
                           timeout=5)
        self.note_reply("DELETE", name, host, reply)
        return reply

    def note_reply(self, what, name, host, reply):
        if isinstance(reply, Reply):
            self.record.note("client", what + " answered", job=name,
                             at=host.name, status=reply.status,
                             body=reply.json())
        else:
            self.record.note("client", what + " without answer", job=name,
                             at=host.name, why=reply)

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def shape_of(self, task):
        step = self.step_of(task)
        need = {"cpu": step.get("cpu", 0), "mem_mb": step.get("mem_mb", 0)}
        return need, self.jobs[task.split(".")[0]]["work_ms"]

    # What runners see.

    def run_started(self, runner, task, run, order):
        self.record.note(runner.name, "RUN STARTS", task=task, run=run.number,
                         fence=order["fence"], life=runner.life)
        others = self.active.setdefault(task, [])
        others.append((runner, run))
        self.starts.append((time.monotonic(), runner, task, run))
        for check in self.checks:
            check(runner, task, run, order)

    def check_twice(self, runner, task, run, order):
        for place, earlier in self.active[task]:
            if earlier is not run:
                self.record.violation(
                    f"TWICE: run {run.number} of {task} starts on "
                    f"{runner.name} while run {earlier.number} is at work on "
                    f"{place.name}")

    def run_gone(self, runner, task, run, how):
        self.record.note(runner.name, "RUN ENDS", task=task, run=run.number,
                         how=how)
        self.active[task].remove((runner, run))


def main(case):
    """Runs case(day, trouble) and exits with 1 if a rule was broken, 0 if it
    held, 2 if the case could not run."""
    here = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(here / "record.txt")
    record.note("script", "begins", trouble=trouble)

    def stop(number, frame):
        raise KeyboardInterrupt

    # Ends the processes that were started also if the script is ended.
    signal.signal(signal.SIGTERM, stop)

    async def play(folder):
        day = Day(Path(folder), record)
        try:
            await asyncio.wait_for(case(day, trouble), 105)
        finally:
            await day.end()

    status = 2
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            asyncio.run(play(folder))
            status = 1 if record.broken else 0
        except BaseException as error:
            # A break that was seen before stands.
            status = 1 if record.broken else 2
            record.note("script", "COULD NOT RUN TO ITS END", why=repr(error))
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp {folder}/*.log '{os.environ['KEEP_LOGS']}'/")
    record.note("script", "ends", status=status, broken=len(record.broken))
    record.close()
    print(f"status {status}" + "".join(f"\n  {t}" for t in record.broken[:5]))
    sys.exit(status)
