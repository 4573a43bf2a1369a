"""Stand-ins for the review's cases, with the Python standard library alone: the name service, workers, stations and
brokers (MQTT 5.0), and the processes of the project. Everything is on loopback addresses and free ports."""

import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "ochreward")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The protocol page: every time limit on sockets is 50 ms longer.
SLACK_S = 0.050


class NotRun(Exception):
    """The case could not run."""


# ---- The record ----

class Record:
    """record.txt of a case: one line an event, with the time since the start in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def until(holds, seconds, what):
    end = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end:
            raise NotRun(f"not within {seconds} s: {what}")
        time.sleep(0.005)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# ---- The name service ----

def _labels(name):
    return b"".join(bytes([len(part)]) + part.encode() for part in name.split(".")) + b"\0"


class Names:
    """Answers queries for the SRV records of _back._tcp.pool.lan with the whole list."""

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        self.serial, self.workers, self.draining, self.silent = 1, [], set(), False
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        service = _labels("_back._tcp.pool.lan")

        def record(owner, kind, data):
            return owner + struct.pack(">HHIH", kind, 1, 0, len(data)) + data

        while True:
            query, sender = self.socket.recvfrom(2048)
            if self.silent:
                continue
            workers = list(self.workers)
            out = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(workers), 1, 2 * len(workers))
            out += query[12:12 + len(service) + 4]
            for worker in workers:
                host = _labels(f"{worker.name}.{worker.zone}.hosts")
                out += record(service, 33, struct.pack(">HHH", int(worker.name in self.draining), 40, worker.port)
                              + host)
            out += record(service, 6, b"\0\0" + struct.pack(">I", self.serial) + bytes(16))
            for worker in workers:
                host = _labels(f"{worker.name}.{worker.zone}.hosts")
                texts = [f"kind={worker.kind}", "cell=0", "started=0"]
                out += record(host, 1, socket.inet_aton("127.0.0.1"))
                out += record(host, 16, b"".join(bytes([len(t)]) + t.encode() for t in texts))
            self.socket.sendto(out, sender)


# ---- Workers ----

class Keys:
    """The keys that all workers know together: a repeat is dropped for `window` seconds from the first try's arrival."""

    def __init__(self, window):
        self.window = window
        self.first = {}
        self.lock = threading.Lock()

    def is_repeat(self, key):
        with self.lock:
            now = time.monotonic()
            if key in self.first and now - self.first[key] <= self.window:
                return True
            self.first[key] = now
            return False


class Worker:
    """Loads a function for `load` seconds at its first call and runs each call for `run` seconds. A call whose connection
    ends goes on ("A cancel or a time-out stops nothing: waiting and running work go on"). `loads` and `runs` give other
    times for single functions."""

    def __init__(self, record, name, zone="hall-a", kind="std-4", run=0.110, load=0.6, loads=None, runs=None, keys=None):
        self.record, self.name, self.zone, self.kind = record, name, zone, kind
        self.run, self.load, self.loads, self.runs = run, load, loads or {}, runs or {}
        self.keys = keys
        self.loaded, self.lock = {}, threading.Lock()
        self.arrived, self.ran, self.on_arrival = [], [], None
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(128)
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self.socket.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._read, args=(connection,), daemon=True).start()

    def _read(self, connection):
        lock, buffer = threading.Lock(), b""
        while True:
            try:
                data = connection.recv(65536)
            except OSError:
                return
            if not data:
                return
            buffer += data
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                command = json.loads(line)
                threading.Thread(target=self._command, args=(connection, lock, command), daemon=True).start()

    def _answer(self, connection, lock, rid, verb, attrs, content=b""):
        line = {"verb": verb, "rid": rid, "attrs": attrs, "content": base64.b64encode(content).decode()}
        with lock:
            try:
                connection.sendall(json.dumps(line).encode() + b"\n")
            except OSError:
                pass

    def _hold(self, function):
        """Waits until the function is loaded; returns the note of the answer."""
        with self.lock:
            now = time.monotonic()
            note = "fresh"
            if function in self.loaded:
                note = "up" if now >= self.loaded[function] else "behind"
            else:
                self.loaded[function] = now + self.loads.get(function, self.load)
            at = self.loaded[function]
        time.sleep(max(0.0, at - now))
        return note

    def _command(self, connection, lock, command):
        verb, rid, attrs = command["verb"], command.get("rid"), command.get("attrs", {})
        if verb in ("ping", "stat"):
            return self._answer(connection, lock, rid, "UP", {})
        if verb == "stage":
            if int(attrs["pods"]) > 0:
                self._hold(attrs["k"])
            return self._answer(connection, lock, rid, "OK", {"pods": 1 if attrs["k"] in self.loaded else 0})
        if verb != "go":
            return None
        function, key, body = attrs["k"], attrs.get("i"), base64.b64decode(command.get("content", ""))
        call = {"rid": rid, "class": attrs["c"], "key": key, "at": time.monotonic(), "body": body}
        self.arrived.append(call)
        self.record.add(f"worker {self.name}: go rid={rid} c={attrs['c']} k={function} w={attrs['w']} i={key}")
        if self.on_arrival:
            self.on_arrival(call)
        if key and self.keys and self.keys.is_repeat(key):
            self.record.add(f"worker {self.name}: rid={rid} dropped as a repeat of key {key}")
            return None
        note = self._hold(function)
        self.record.add(f"worker {self.name}: rid={rid} key={key} begins to run ({note})")
        self.ran.append({"rid": rid, "key": key, "at": time.monotonic()})
        time.sleep(self.runs.get(function, self.run))
        self.record.add(f"worker {self.name}: rid={rid} has run, answers OK")
        return self._answer(connection, lock, rid, "OK", {"note": note}, b"result of " + rid.encode())


# ---- MQTT 5.0 ----

def _text(value):
    data = value if isinstance(value, bytes) else value.encode()
    return struct.pack(">H", len(data)) + data


def _length(size):
    out = b""
    while True:
        size, digit = size >> 7, size & 0x7f
        out += bytes([digit | (0x80 if size else 0)])
        if not size:
            return out


def _packet(head, content):
    return bytes([head]) + _length(len(content)) + content


def _user(user):
    return b"".join(b"\x26" + _text(name) + _text(value) for name, value in user)


class _Bytes:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, count):
        self.at += count
        return self.data[self.at - count:self.at]

    def number(self, count):
        return int.from_bytes(self.take(count), "big")

    def text(self):
        return self.take(self.number(2))

    def length(self):
        size = shift = 0
        while True:
            digit = self.number(1)
            size |= (digit & 0x7f) << shift
            shift += 7
            if not digit & 0x80:
                return size

    def more(self):
        return self.at < len(self.data)

    def properties(self):
        end = self.length()
        end += self.at
        found, user = {}, []
        while self.at < end:
            kind = self.number(1)
            if kind == 0x26:
                name = self.text().decode()
                user.append((name, self.text().decode()))
            elif kind in (0x01, 0x17, 0x19, 0x24, 0x25, 0x28, 0x29, 0x2a):
                found[kind] = self.number(1)
            elif kind in (0x13, 0x21, 0x22, 0x23):
                found[kind] = self.number(2)
            elif kind in (0x02, 0x11, 0x18, 0x27):
                found[kind] = self.number(4)
            elif kind == 0x0b:
                found[kind] = self.length()
            else:
                found[kind] = self.text()
        return found, user


def read_packet(connection):
    """Reads one packet; returns its head and content, or None at the connection's end."""
    def exactly(count):
        data = b""
        while len(data) < count:
            part = connection.recv(count - len(data))
            if not part:
                raise EOFError
            data += part
        return data
    try:
        head = exactly(1)[0]
        size = shift = 0
        while True:
            digit = exactly(1)[0]
            size |= (digit & 0x7f) << shift
            shift += 7
            if not digit & 0x80:
                break
        return head, _Bytes(exactly(size))
    except (OSError, EOFError):
        return None


class Station:
    """A station's connection to a dispatcher: MQTT 5.0, triggers at QoS 1. Acknowledgements are kept in `acks`."""

    def __init__(self, record, port, client, password, clean, expiry, timeout=1.0):
        self.record, self.client, self.acks, self.open = record, client, [], True
        self.connection = socket.create_connection(("127.0.0.1", port), timeout)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        properties = b"" if expiry == 0 else b"\x11" + struct.pack(">I", expiry)
        flags = 0xc0 | (2 if clean else 0)
        content = _text("MQTT") + bytes([5, flags]) + struct.pack(">H", 30) + _length(len(properties)) + properties
        self.connection.sendall(_packet(0x10, content + _text(client) + _text("station") + _text(password)))
        answer = read_packet(self.connection)
        if not answer or answer[0] != 0x20:
            raise OSError("no CONNACK")
        self.present, reason = answer[1].number(1) == 1, answer[1].number(1)
        if reason:
            raise OSError(f"CONNACK with reason {reason:#x}")
        record.add(f"station {client}: connected, clean_start={int(clean)}, session present {int(self.present)}")
        self.connection.settimeout(None)
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        while (packet := read_packet(self.connection)) is not None:
            head, content = packet
            if head >> 4 == 4:
                number, reason, user = content.number(2), 0, []
                if content.more():
                    reason = content.number(1)
                if content.more():
                    user = content.properties()[1]
                user = dict(user)
                self.record.add(f"station {self.client}: PUBACK id={number} reason={reason:#04x} {user}")
                self.acks.append({"id": number, "reason": reason, "user": user, "at": time.monotonic()})
            elif head >> 4 == 14:
                self.record.add(f"station {self.client}: DISCONNECT {content.number(1) if content.more() else 0:#04x}")
        self.open = False

    def publish(self, number, user, dup=False):
        topic = f"in/{self.client}/calls"
        properties = b"\x08" + _text(f"out/{self.client}/{dict(user)['call']}") + b"\x09" + _text(b"c1") + _user(user)
        content = _text(topic) + struct.pack(">H", number) + _length(len(properties)) + properties + b"reading"
        self.record.add(f"station {self.client}: PUBLISH id={number} dup={int(dup)} {dict(user)}")
        self.connection.sendall(_packet(0x32 | (8 if dup else 0), content))

    def cut(self):
        """Breaks the connection without a DISCONNECT, as a station that loses its power or its uplink."""
        self.record.add(f"station {self.client}: its connection breaks")
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.connection.close()


class _Session:
    def __init__(self):
        self.connection, self.filters, self.waiting, self.unacknowledged, self.next_id = None, {}, [], {}, 0


def matches(topic_filter, topic):
    wanted, given = topic_filter.split("/"), topic.split("/")
    for place, part in enumerate(wanted):
        if part == "#":
            return True
        if place >= len(given) or part not in ("+", given[place]):
            return False
    return len(wanted) == len(given)


class Broker:
    """A broker: sessions that outlive their connections, QoS 1 with redelivery, retained messages, takeover of a session
    by a later connection under the same client id (reason 0x8e)."""

    def __init__(self, record):
        self.record, self.lock = record, threading.RLock()
        self.sessions, self.retained, self.answers = {}, {}, []
        self.takeovers, self.connects = [], []
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(128)
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self.socket.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    @staticmethod
    def _send(connection, data):
        try:
            connection.sendall(data)
        except OSError:
            pass

    def _deliver(self, session, message, dup, number, qos):
        properties = b"\x08" + _text(message["response"]) if message.get("response") else b""
        properties += b"\x09" + _text(message["correlation"]) if message.get("correlation") else b""
        properties += _user(message["user"])
        content = _text(message["topic"]) + (struct.pack(">H", number) if qos else b"")
        content += _length(len(properties)) + properties + message["payload"]
        head = 0x30 | (8 if dup else 0) | qos << 1 | (1 if message.get("as_retained") else 0)
        self._send(session.connection, _packet(head, content))

    def _route(self, message):
        for client, session in self.sessions.items():
            qos = max((q for f, q in session.filters.items() if matches(f, message["topic"])), default=None)
            if qos is None:
                continue
            if qos == 0:
                if session.connection:
                    self._deliver(session, message, False, 0, 0)
                continue
            session.next_id = session.next_id % 65535 + 1
            session.unacknowledged[session.next_id] = message
            if session.connection:
                self._deliver(session, message, False, session.next_id, 1)
            else:
                self.record.add(f"broker: keeps a message on {message['topic']} for {client}, which is away")

    def publish(self, message):
        """A client's message at QoS 1: the broker has accepted it once this returns."""
        with self.lock:
            self._route(message)

    def _serve(self, connection):
        first = read_packet(connection)
        if not first or first[0] != 0x10:
            return connection.close()
        content = first[1]
        content.text(), content.number(1)
        flags = content.number(1)
        content.number(2)
        content.properties()
        client = content.text().decode()
        with self.lock:
            old = self.sessions.get(client)
            if old and old.connection:
                self.takeovers.append({"client": client, "at": time.monotonic()})
                self.record.add(f"broker: a second connection takes over the session of {client}")
                self._send(old.connection, _packet(0xe0, b"\x8e\x00"))
                try:
                    old.connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
            present = old is not None and not flags & 2
            session = old if present else _Session()
            self.sessions[client] = session
            session.connection = connection
            self.connects.append({"client": client, "at": time.monotonic()})
            self.record.add(f"broker: CONNECT of {client}, session present {int(present)}")
            self._send(connection, _packet(0x20, bytes([int(present), 0, 0])))
            for number, message in sorted(session.unacknowledged.items()):
                self._deliver(session, message, True, number, 1)
        while (packet := read_packet(connection)) is not None:
            with self.lock:
                if session.connection is connection:
                    self._packet(client, session, connection, *packet)
        with self.lock:
            if session.connection is connection:
                session.connection = None
                self.record.add(f"broker: the connection of {client} ended")
        connection.close()

    def _packet(self, client, session, connection, head, content):
        kind = head >> 4
        if kind == 3:
            topic, number = content.text().decode(), content.number(2)
            properties, user = content.properties()
            message = {"topic": topic, "user": user, "payload": content.data[content.at:],
                       "correlation": properties.get(0x09)}
            self.record.add(f"broker: {client} publishes on {topic}: {dict(user)}")
            self.answers.append({"topic": topic, "user": dict(user), "client": client, "at": time.monotonic()})
            if head & 1:
                self.retained[topic] = {**message, "as_retained": True}
            self._route(message)
            self._send(connection, _packet(0x40, struct.pack(">H", number)))
        elif kind == 4:
            session.unacknowledged.pop(content.number(2), None)
        elif kind == 8:
            number = content.number(2)
            content.properties()
            reasons, wanted = b"", []
            while content.more():
                topic_filter, options = content.text().decode(), content.number(1)
                session.filters[topic_filter] = options & 3
                wanted.append(topic_filter)
                reasons += bytes([options & 3])
            self.record.add(f"broker: {client} subscribes to {wanted}")
            self._send(connection, _packet(0x90, struct.pack(">H", number) + b"\0" + reasons))
            for topic_filter in wanted:
                for topic, message in self.retained.items():
                    if matches(topic_filter, topic):
                        self._deliver(session, message, False, 0, 0)
        elif kind == 10:
            number = content.number(2)
            content.properties()
            reasons = b""
            while content.more():
                reasons += b"\0" if session.filters.pop(content.text().decode(), None) is not None else b"\x11"
            self._send(connection, _packet(0xb0, struct.pack(">H", number) + b"\0" + reasons))
        elif kind == 12:
            self._send(connection, _packet(0xd0, b""))


# ---- Settings and processes ----

def settings(dispatchers=1, own=0):
    """Settings of a small deployment, with the figures of quito-main's brief."""
    def lane(name, effect, promise, deadline, window, credit):
        return {"name": name, "effect": effect, "key_scope": "all", "promise_us": promise, "deadline_us": deadline,
                "repeat_window_us": window, "credit": credit, "late_worth": 0.2, "stream": False}
    return {
        "balancers": dispatchers, "me": own, "my_zone": 0, "zones": ["hall-a", "hall-b"], "kinds": ["std-4", "slow-4"],
        "tick_us": 4000, "discovery": "pushed", "over_share_worth": 0.2,
        "lanes": [lane("flow-read", "idempotent", 800000, 3000000, 5000000, 1.0),
                  lane("level-log", "deduplicated", 600000, 2500000, 1500000, 5.0),
                  lane("alert-send", "at_most_once", 800000, 2000000, 5000000, 5.0)],
        "orgs": [{"fraction": 0.61, "name": "agua-costa", "quota_per_s": 122.0},
                 {"fraction": 0.39, "name": "riego-sur", "quota_per_s": 78.0}],
        "limits": {"cancel": True, "may_duplicate": True, "send_cap": 3, "retry_after": True,
                   "max_retry_after_us": 1000000, "connect_timeout_us": 250000, "keepalive_us": 15000000,
                   "streams_per_conn": 32, "max_open": 23327, "probing": True, "peers": False},
        "rules": {"ask_every_us": 10000000, "cold_share": 0.15, "fall_multiple": 2.0, "fall_us": 1500000,
                  "grace_to_answer_us": 16000, "stop_sending_within_us": 250000, "warm_after_us": 14000000},
        "family_info": {"orders": True, "load_window_us": 5000000, "loads_anyway": 6.0, "loads_per_request": 0.3,
                        "keep_alive_us": 9300000, "miss_mode": "load", "tells_warm": True,
                        "notes_peers_in_hand": True, "load_wait_us": 10000000},
    }


class Dispatchers:
    """Starts the project's programs with the command of the deploy file and ends all of them."""

    def __init__(self, record, names, workers):
        self.record, self.names, self.workers = record, names, workers
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.children = []

    def file(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        return path

    def config(self, name, port, door, dispatchers=1, own=0):
        known = [{"instanceId": w.name, "hostPort": f"127.0.0.1:{w.port}", "zone": w.zone, "machineType": w.kind,
                  "cell": 0, "lifecycle": "in_service", "weight": 4, "startedAtMs": 0} for w in self.workers]
        return self.file(f"{name}.json", json.dumps({
            "name": name, "listen": f"127.0.0.1:{port}", "seed": os.urandom(8).hex(),
            "ops": f"127.0.0.1:{door}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "names": f"127.0.0.1:{self.names.port}",
            "known": {"offset": 1, "batch": [{"offset": 1, "topology": {
                "generation": 1, "reset": True, "instances": known}}]},
            "settings": settings(dispatchers, own)}))

    def start(self, words, config=None, log="program"):
        private = os.path.join(self.folder, f"tmp-{log}")
        os.makedirs(private, exist_ok=True)
        kept = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "OCHREWARD"))}
        env = {**kept, "TMPDIR": private, **({"ROUTER_CONFIG": config} if config else {})}
        out = open(os.path.join(self.folder, f"{log}.log"), "a", encoding="utf-8")
        # The deploy file: run = "exec target/release/ochreward", by /bin/sh -c from the root.
        command = "exec target/release/ochreward " + " ".join(f"'{word}'" for word in words)
        child = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=out,
                                 stderr=out)
        self.children.append(child)
        self.record.add(f"process {log} started: {' '.join(words)}")
        return child

    def kill(self, child, name):
        child.kill()
        child.wait()
        self.record.add(f"process {name} killed (SIGKILL)")

    def ready(self, door, seconds=20):
        def is_ready():
            try:
                with socket.create_connection(("127.0.0.1", door), 1) as call:
                    call.sendall(b"GET /_ready HTTP/1.1\r\nHost: door\r\n\r\n")
                    return b" 200 " in call.recv(100)
            except OSError:
                return False
        until(is_ready, seconds, "the dispatcher is ready")

    def command(self, words, seconds=20):
        done = subprocess.run([PROGRAM, *words], cwd=ROOT, capture_output=True, text=True, timeout=seconds,
                              stdin=subprocess.DEVNULL)
        self.record.add(f"command {' '.join(words)}: exit {done.returncode} {done.stdout.strip()} {done.stderr.strip()}")
        return done

    def end(self):
        for child in self.children:
            if child.poll() is None:
                child.kill()
        for child in self.children:
            child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def password_hash(word):
    done = subprocess.run([PROGRAM, "hash-password"], input=word + "\n", capture_output=True, text=True, timeout=20,
                          cwd=ROOT)
    if done.returncode:
        raise NotRun(f"hash-password: {done.stderr}")
    return done.stdout.strip()


def play(folder, case):
    """Runs a case; returns its exit code. The case gets the record and returns the breaks that it saw."""
    record = Record(folder)
    record.add(f"TROUBLE={int(TROUBLE)}")

    def stop(*_):
        raise NotRun("over its time")
    signal.signal(signal.SIGALRM, stop)
    signal.signal(signal.SIGTERM, stop)
    signal.alarm(110)
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise NotRun("the program is not built")
        breaks = case(record)
    except NotRun as why:
        record.add(f"could not run: {why}")
        print(f"could not run: {why}")
        return NOT_RUN
    except (OSError, subprocess.SubprocessError) as why:
        record.add(f"could not run: {why!r}")
        print(f"could not run: {why!r}")
        return NOT_RUN
    for text in breaks:
        record.add(f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    record.add("the rule was broken" if breaks else "the rule held")
    print("the rule was broken" if breaks else "the rule held")
    return BROKEN if breaks else HELD


def main(script, case):
    code = play(os.path.dirname(os.path.abspath(script)), case)
    sys.stdout.flush()
    os._exit(code)
