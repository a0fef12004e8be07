"""Stand-ins for the platform's store, the runners and the clients, as PROTOCOL.md has them, and real entry hosts as
separate processes on loopback. A case is a coroutine that gets a World; `play` runs it and writes the record."""
import asyncio, base64, ctypes, hashlib, json, os, random, re, shutil, signal, socket, sys, tempfile, time, tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of sites/strapworks-sched.toml.
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_MS = 50
CONTACT_S = 3.0
CANCEL_S = 3.0
RESEND_S = 1.3
GRACE_S = 6


class CannotRun(Exception):
    """The case could not be played."""


given_ports = set()


def free_port(address):
    """Returns a port that is free at this address, another one at each call."""
    while True:
        with socket.socket() as one:
            one.bind((address, 0))
            port = one.getsockname()[1]
        if port not in given_ports:
            given_ports.add(port)
            return port


def lock_addresses():
    """Returns a number N such that 127.N.x.x is this case's, and a socket that is held meanwhile. The hosts' ports of
    the metrics are fixed, so that each host needs an address of its own."""
    for net in random.sample(range(20, 250), 100):
        lock = socket.socket()
        try:
            lock.bind((f"127.{net}.1.1", 9463))
            with socket.socket() as one:
                one.bind((f"127.{net}.2.1", 9464))
            return net, lock
        except OSError:
            lock.close()
    raise CannotRun("no free addresses")


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP/1.1 message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length) if length else b""


class Server:
    """An HTTP/1.1 server; `handle` gets method, path, headers and body, and returns status and JSON value."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def listen(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, value = await self.handle(method, path, headers, body)
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                             f"content-length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store with its tables; all calls are answered after 4 ms."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 100
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.lag_s, self.quiet_until, self.kept_from = 0, 0, 0

    async def compact(self, lag_s, for_s):
        """`platform_compact`: watches hear nothing for a second, then the history is dropped and they are cut; reads
        of rows are `lag_s` behind, for `for_s`."""
        self.lag_s, self.quiet_until = lag_s, time.monotonic() + 1
        await asyncio.sleep(1)
        self.kept_from = self.version
        self.changed.set()
        self.changed = asyncio.Event()
        await asyncio.sleep(for_s - 1)
        self.lag_s = 0

    def read(self, table, part):
        """Returns the rows of a table and the version that they show."""
        if not self.lag_s:
            return [r for (t, p, _), r in self.rows.items() if (t, p) == (table, part)], self.version
        rows, version, shown = {}, 100, time.monotonic() - self.lag_s
        for row in self.changes:
            if row["at"] > shown:
                break
            version = row["ver"]
            if (row["table"], row["part"]) == (table, part):
                rows[row["key"]] = row
        return [r for r in rows.values() if "tombstone" not in r], version

    def put(self, table, key, value, part=""):
        """Writes a row; None removes it."""
        self.version += 1
        row = {"table": table, "part": part, "key": key, "ver": self.version, "at": time.monotonic()}
        if value is None:
            self.rows.pop((table, part, key), None)
            row["tombstone"] = True
        else:
            row["value"] = value
            self.rows[table, part, key] = row
        self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put_json(self, table, key, value):
        return self.put(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def reply(self, **members):
        return {**members, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def handle(self, method, path, headers, body):
        await asyncio.sleep(0.004)
        path, _, text = path.partition("?")
        query = dict(re.findall(r"([^&=]+)=([^&]*)", text))
        if path == "/v1/rows-get":
            rows, version = self.read(query["table"], query.get("part", ""))
            rows = sorted((r for r in rows if r["key"] >= query.get("from", "")), key=lambda r: r["key"])
            return 200, {**self.reply(rows=rows[:500], has_more=len(rows) > 500), "ver": version}
        if path == "/v1/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                if after < self.kept_from:
                    return 410, {}
                is_quiet = time.monotonic() < self.quiet_until
                found = [] if is_quiet else [r for r in self.changes
                                             if r["ver"] > after and r["table"] == query["table"]]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, self.reply(rows=found[:500])
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/rows-tx":
            asked = json.loads(body)
            now = lambda r: self.rows.get((r["table"], r.get("part", ""), r["key"]))
            if any((now(r) or {"ver": 0})["ver"] != r["ver"] for r in asked.get("expect", [])):
                return 412, self.reply(rows=[now(r) for r in asked["expect"] if now(r)])
            for r in asked.get("set_keys", []):
                self.put(r["table"], r["key"], r["value"], r.get("part", ""))
            for r in asked.get("remove", []):
                self.put(r["table"], r["key"], None, r.get("part", ""))
            return 200, self.reply()
        return 400, {}


class Runner:
    """A runner that does not guard its capacity. A task's spec is its work in milliseconds."""

    def __init__(self, world, name, zone, labels, cpu=16000):
        self.world, self.name, self.zone, self.labels, self.cpu = world, name, zone, labels, cpu
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence, self.lease, self.sequence, self.ends_listed = 0, 0, 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.state = "ready"
        self.cut_until = 0
        self.reported_at = 0
        self.reported = asyncio.Event()
        self.end_came = asyncio.Event()
        self.server = Server(self.handle)

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self):
        self.address, self.port = self.world.address, free_port(self.world.address)
        await self.server.listen(self.address, self.port)
        self.world.spawn(self.report())
        self.world.spawn(self.expire())
        self.world.spawn(self.work())

    async def report(self):
        """Reports to the store at each interval, unless the runner is cut off from it."""
        while True:
            if time.monotonic() >= self.cut_until:
                self.sequence += 1
                self.reported_at = time.monotonic()
                self.world.store.put_json("servers", self.name, {
                    "service": "repair-desk", "addr": f"{self.address}:{self.port}", "zone": self.zone,
                    "version": "1", "slots": 8, "state": self.state, "cold_left_ms": 0, "seq": self.sequence,
                    "born": self.born, "clock_ms": self.clock(), "labels": self.labels,
                    "capacity": {"cpu": self.cpu, "mem_mb": 65536}})
                self.reported.set()
                self.reported = asyncio.Event()
            elif self.is_listed():
                self.world.note("report_lost", runner=self.name)
            await asyncio.sleep(HEARTBEAT_S)

    async def expire(self):
        """The store drops the entry after three intervals of silence."""
        while True:
            if self.is_listed() and time.monotonic() - self.reported_at >= 3 * HEARTBEAT_S:
                self.world.store.put("servers", self.name, None)
                self.world.note("entry_lapsed", runner=self.name)
            await asyncio.sleep(0.05)

    def is_listed(self):
        return ("servers", "", self.name) in self.world.store.rows

    def cut(self, seconds):
        """`srv_cut`: partitioned from the store, not from the entry hosts."""
        self.cut_until = time.monotonic() + seconds
        self.world.note("cut_from_store", runner=self.name, for_s=seconds)

    async def work(self):
        while True:
            for key, begun in list(self.running.items()):
                if (time.monotonic() - begun["at"]) * 1000 >= begun["work_ms"]:
                    self.end(key, "done")
            if self.running and self.clock() >= self.lease:
                for key in list(self.running):
                    self.end(key, "lapsed")
            await asyncio.sleep(0.002)

    def end(self, key, how):
        begun = self.running.pop(key)
        begun["until"], begun["how"] = time.monotonic(), how
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ends_listed += 1
        self.ended.append([self.ends_listed, key[0], key[1], how, ""])
        self.world.note("ended", runner=self.name, task=key[0], run=key[1], how=how)
        self.end_came.set()
        self.end_came = asyncio.Event()

    def extend(self, body):
        if "deadline_ms" in body:
            self.lease = max(self.lease, min(body["deadline_ms"], self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, headers, body):
        body = json.loads(body or b"{}")
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        if body.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        if path == "/v1/hold":
            self.extend(body)
            self.ended = [row for row in self.ended if row[0] > body.get("ack_cursor", 0)]
            if body.get("wait_ms") and not self.ended:
                try:
                    await asyncio.wait_for(self.end_came.wait(), min(body["wait_ms"], 2000) / 1000)
                except asyncio.TimeoutError:
                    pass
            running = [[task, run, "", min(99, int((time.monotonic() - r["at"]) * 1e5 / r["work_ms"])), 0]
                       for (task, run), r in self.running.items()]
            return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}
        task, run = body["task"], body["run"]
        if path == "/v1/run-start":
            if (task, run) in self.running:
                return 200, {"clock_ms": self.clock()}
            if run <= self.highest.get(task, 0):
                self.extend(body)
                return 409, {"clock_ms": self.clock(), "reason": "old"}
            if body["deadline_ms"] <= self.clock():
                return 409, {"clock_ms": self.clock(), "reason": "late"}
            self.extend(body)
            begun = {"task": task, "run": run, "runner": self.name, "at": time.monotonic(), "until": None, "how": None,
                     "work_ms": int(body["spec"]), "fence": body["fence"]}
            self.running[task, run] = begun
            self.world.runs.append(begun)
            self.world.note("started", runner=self.name, task=task, run=run, fence=body["fence"])
            return 200, {"clock_ms": self.clock()}
        if path == "/v1/run-stop":
            self.highest[task] = max(self.highest.get(task, 0), run)
            if (task, run) in self.running:
                self.end((task, run), "stopped")
            return 200, {"clock_ms": self.clock()}
        return 400, {"clock_ms": self.clock()}


class Channel:
    """A proxy before one host's peer port, for the connections of one other host."""

    def __init__(self, world, target, dialler):
        # Of the same length as the address that it stands for.
        self.target, self.address = target, f"{target.address[:-1]}{dialler.number}"
        self.silenced, self.open = set(), []
        world.spawn(self.listen())

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.target.peers)

    async def serve(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(self.target.address, self.target.peers)
        except OSError:
            return writer.close()
        state = {"silent": False}
        self.open.append(state)

        async def forward(source, sink):
            try:
                while data := await source.read(65536):
                    if not state["silent"]:
                        sink.write(data)
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                sink.close()
        await asyncio.gather(forward(reader, other_writer), forward(other_reader, writer))

    def silence(self):
        """Open channels go silent for good; new ones work."""
        for state in self.open:
            state["silent"] = True


def end_with_parent():
    """The calling process gets SIGKILL when the case ends by a signal that it can't handle (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Host:
    """An entry host: the command of the deploy file with the settings of its template."""

    def __init__(self, world, number, zone, share, link=750.0):
        self.world, self.zone, self.share, self.link = world, zone, share, link
        self.name = f"front-{zone}-{number}"
        self.number = len(world.hosts) + 2
        self.store_port = world.store_port
        self.address = f"127.{world.net}.{self.number}.1"
        self.callers, self.ready_port, self.peers = (free_port(self.address) for _ in range(3))
        self.process = None
        self.started_at = 0

    def settings(self):
        fields = {"node": self.name, "zone": self.zone, "ip": self.address,
                  "listen.front": f"{self.address}:{self.callers}", "listen.ready": f"{self.address}:{self.ready_port}",
                  "port_range.0": self.peers, "platform.addr": f"{self.world.address}:{self.store_port}",
                  "bounds.hold_max_ms": HOLD_MAX_MS, "bounds.grace_s": GRACE_S, "bounds.far_x": 1.5,
                  "limits.cpu_share": self.share, "limits.max_fds": 3075, "limits.link_mbps": self.link}
        fill = lambda text: re.sub(r"\{\{([^}]+)\}\}", lambda m: str(fields[m[1]]), text)
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        return fill((ROOT / role["template"]).read_text()), role["run"], {k: fill(v) for k, v in role["env"].items()}

    async def start(self):
        text, command, variables = self.settings()
        path = self.world.folder / f"{self.name}.yaml"
        path.write_text(text)
        self.log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command.split(), cwd=ROOT, stdout=self.log, stderr=self.log, preexec_fn=end_with_parent,
            env={"PATH": os.environ["PATH"], "CHICORYDRUM_BOOT": str(path), **variables})
        self.started_at = time.monotonic()
        self.world.note("host_started", host=self.name)

    def send_signal(self, which):
        self.world.note("signal", host=self.name, signal=which.name)
        self.process.send_signal(which)

    async def wait_end(self):
        await self.process.wait()
        self.world.note("host_ended", host=self.name, code=self.process.returncode)

    async def is_ready(self):
        try:
            return (await request(self.address, self.ready_port, "GET", "/v1/ready", timeout=1))[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def log_lines(self, *parts):
        """Returns the lines of its log that have all of these parts."""
        text = (self.world.folder / f"{self.name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if all(part in line for part in parts)]


async def request(address, port, method, path, value=None, headers=None, timeout=20):
    """Returns status and JSON value; fails with OSError or IncompleteReadError if the channel breaks."""
    async def call():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            body = b"" if value is None else json.dumps(value).encode()
            lines = [f"{method} {path} HTTP/1.1", "host: desk.example", "content-type: application/json",
                     f"content-length: {len(body)}", *(f"{k}: {v}" for k, v in (headers or {}).items())]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            first, _, text = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(text or b"{}")
        finally:
            writer.close()
    return await asyncio.wait_for(call(), timeout)


class World:
    def __init__(self, record):
        self.record = record
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net, self.lock = lock_addresses()
        self.address = f"127.{self.net}.1.1"
        self.hosts, self.runners, self.runs, self.tasks = [], [], [], []
        self.store = Store()

    def note(self, event, **members):
        text = " ".join(f"{k}={v}" for k, v in members.items())
        self.record.write(f"{time.monotonic() - self.began:8.3f} {event} {text}\n")
        self.record.flush()

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))
        return self.tasks[-1]

    async def start_store(self):
        self.store_port = free_port(self.address)
        await self.store.server.listen(self.address, self.store_port)
        self.put_config(7)

    def put_config(self, version, routes=("tags",)):
        self.store.put_json("op", "config", {
            "version": version,
            "routes": [{"name": name, "host": "desk.example", "prefix": f"/{name}/", "service": "repair-desk",
                        "timeout_ms": 30000, "priority": 1, "attempts": 3, "stretch": 3.0, "slo_ms": 20000}
                       for name in routes],
            "services": [{"name": "repair-desk", "admission_control": False}], "limits": {}})

    async def add_runner(self, name, zone, labels, cpu=16000):
        runner = Runner(self, name, zone, labels, cpu)
        self.runners.append(runner)
        await runner.start()
        return runner

    async def add_host(self, number, zone, share, link=750.0):
        host = Host(self, number, zone, share, link)
        self.hosts.append(host)
        await host.start()
        return host

    async def add_host_with_own_store(self, number, zone, share):
        """Adds a host that reaches the store at a port of its own. Returns the host and a function that makes the store
        give it no response any more."""
        host, is_silent = Host(self, number, zone, share), []
        host.store_port = free_port(self.address)
        self.hosts.append(host)

        async def handle(*call):
            answer = await self.store.handle(*call)
            if is_silent:
                await asyncio.sleep(60)
            return answer
        await Server(handle).listen(self.address, host.store_port)
        await host.start()

        def silence():
            self.note("store_silent", host=host.name)
            is_silent.append(True)
        return host, silence

    async def add_linked_hosts(self, zone, shares, link=750.0):
        """Adds hosts whose connections to each other lead through proxies, see `channels`. Each reads the store at a
        port of its own, which shows the others' addresses as those of the proxies."""
        hosts = [Host(self, 1, zone, shares[0], link)]
        self.hosts.append(hosts[0])
        for i, share in enumerate(shares[1:], 2):
            hosts.append(Host(self, i, zone, share, link))
            self.hosts.append(hosts[-1])
        self.channels = {(one.name, other.name): Channel(self, other, one)
                         for one in hosts for other in hosts if one is not other}
        for host in hosts:
            host.store_port = free_port(self.address)

            async def handle(*call, host=host):
                status, value = await self.store.handle(*call)
                return status, self.shown_to(host, value)
            await Server(handle).listen(self.address, host.store_port)
            await host.start()
        return hosts

    def shown_to(self, reader, value):
        rows = []
        for row in value.get("rows", []):
            channel = self.channels.get((reader.name, row["key"])) if row["table"] == "entry_hosts" else None
            if channel and "value" in row:
                text = base64.b64decode(row["value"])
                text = text.replace(channel.target.address.encode(), channel.address.encode())
                row = {**row, "value": base64.b64encode(text).decode()}
            rows.append(row)
        return {**value, "rows": rows} if "rows" in value else value

    def silence(self, one, other):
        """The open channels between two hosts go silent for good, without a reset; new ones work."""
        self.note("channels_silent", one=one.name, other=other.name)
        self.channels[one.name, other.name].silence()
        self.channels[other.name, one.name].silence()

    async def until(self, condition, seconds, what):
        """Waits until `condition`, a function or a coroutine function, holds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.01)
        raise CannotRun(f"timed out: {what}")

    async def all_ready(self, seconds=20):
        async def ready():
            return all([await host.is_ready() for host in self.hosts])
        await self.until(ready, seconds, "hosts are ready")

    async def call(self, host, method, path, value=None, headers=None, label=""):
        """A client's call; returns status and value, or (0, None) if the channel breaks or nothing comes."""
        self.note("client_sends", host=host.name, method=method, path=path, **({"label": label} if label else {}))
        try:
            status, value = await request(host.address, host.callers, method, path, value, headers)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.note("client_gets", host=host.name, method=method, path=path, error=type(error).__name__)
            return 0, None
        self.note("client_gets", host=host.name, method=method, path=path, status=status, body=json.dumps(value))
        return status, value

    def post(self, host, job, value, wait_ms=30000, label="", route="tags"):
        return self.spawn(self.call(host, "POST", f"/{route}/{job}", value, {"deadline-ms": str(wait_ms)}, label))

    def runs_of(self, job):
        return [run for run in self.runs if run["task"].startswith(job)]

    def owner(self, domain_hosts, shard=0):
        """Returns the live host of these whose log says last that it claimed the shard, if it has not released it."""
        best = None
        for host in domain_hosts:
            if host.process is None or host.process.returncode is not None:
                continue
            mine = [line for line in host.log_lines(f"shard={shard} ")
                    if "event=shard_claimed" in line or "event=shard_released" in line]
            if mine and "event=shard_claimed" in mine[-1]:
                token = int(re.search(r"token=(\d+)", mine[-1])[1])
                if best is None or token > best[0]:
                    best = (token, host)
        return best and best[1]

    async def end(self):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                try:
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                except ProcessLookupError:
                    pass
                await host.process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def job(work_ms, count=1, cpu=1000, steps=1, **step):
    one = {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": work_ms, **step}
    return {"spec": str(work_ms), "preemptible": True,
            "steps": [{**one, **({"after": [i - 1]} if i else {})} for i in range(steps)]}


def shard_of(name, shards=2):
    """The shard of a runner, and the home shard of a job, as docs/design/06-platform.md has it: by the digest."""
    return int(hashlib.sha256(name.encode()).hexdigest()[:8], 16) % shards


def overlaps(runs):
    """Returns pairs of runs of one task that were at work at the same time, with the time in milliseconds."""
    now, found = time.monotonic(), []
    for i, one in enumerate(runs):
        for other in runs[i + 1:]:
            span = min(one["until"] or now, other["until"] or now) - max(one["at"], other["at"])
            if one["task"] == other["task"] and span > 0:
                found.append((one, other, round(span * 1000)))
    return found


def play(case):
    """Runs the coroutine function `case`, which returns whether the rule was broken and a line on it."""
    folder = Path(sys.argv[0]).resolve().parent

    async def run(record):
        try:
            world = World(record)
        except CannotRun as error:
            return NOT_RUN, repr(error)
        world.note("case", folder=folder.name, trouble=int(TROUBLE))
        for which in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(which, asyncio.current_task().cancel)
        try:
            broken, text = await asyncio.wait_for(case(world), 110)
            world.note("broken" if broken else "held", what=text)
            return (BROKEN if broken else HELD), text
        except (Exception, asyncio.CancelledError) as error:  # Anything else than the rule's breach is no result.
            world.note("not_run", what=repr(error))
            return NOT_RUN, repr(error)
        finally:
            await world.end()

    with open(folder / "record.txt", "w") as record:
        code, text = asyncio.run(run(record))
    print(("held", "BROKEN", "could not run")[code] + ": " + text)
    sys.exit(code)
