"""A worker that turns slow is still preferred, and its reads are cancelled and refused while another worker stands idle.

The cause behind the tests 'restarts::*_is_not_missed' when they fail with 'the restarted worker is not used'. The bound is
theirs: a ready worker is used within MAX_UNUSED_S. No rule of the pages, and no case: a refusal is a final answer."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "stand"))
import stand  # noqa: E402
from thrift import message  # noqa: E402

# tests/sockets/restarts.rs, MAX_UNUSED_TIME.
MAX_UNUSED_S = 10.0
# deploy/rooms.json: no two attempts of a request at a time; the first one is cancelled.
ONE_ATTEMPT_AT_A_TIME = {"may_duplicate": False}
USUAL_S, SLOW_S = 0.040, 0.400
SERVED, REFUSED, FAILED = 0, 1, 2


def answer_kind(connection, buffer):
    """Reads one answer: 0 served, 1 refused, 2 failed (the field of the result that is set)."""
    while len(buffer) < 4 or len(buffer) < 4 + int.from_bytes(buffer[:4], "big"):
        data = connection.recv(65536)
        if not data:
            raise stand.NotRun("the dispatcher closed a connection")
        buffer += data
    size = int.from_bytes(buffer[:4], "big")
    frame = bytes(buffer[4:4 + size])
    del buffer[:4 + size]
    name = int.from_bytes(frame[4:8], "big")
    return int.from_bytes(frame[8 + name + 4 + 1:8 + name + 4 + 3], "big")


def case(record):
    usual_settings = stand.settings

    def settings(*args):
        changed = usual_settings(*args)
        changed["limits"].update(ONE_ATTEMPT_AT_A_TIME)
        return changed

    stand.settings = settings
    names = stand.Names()
    workers = [stand.Worker(record, f"s-{n}", run=USUAL_S, load=0.4) for n in range(2)]
    names.workers = workers
    programs = stand.Dispatchers(record, names, workers)
    stopped, answers = threading.Event(), []
    try:
        port, door = stand.free_port(), stand.free_port()
        programs.start([], programs.config("n0", port, door), "n0")
        programs.ready(door)

        def client():
            with socket.create_connection(("127.0.0.1", port), 5) as connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.settimeout(5)
                buffer = bytearray()
                for seq in range(1, 100_000):
                    if stopped.is_set():
                        return
                    fields = {"op": "flow-read", "call": f"{seq:016x}", "ttl": "3000", "org": "agua-costa",
                              "row": f"{1:016x}", "info": "memory_mb:300;lanes:2;load_ms:400"}
                    connection.sendall(message(seq, fields, b"reading"))
                    kind = answer_kind(connection, buffer)
                    answers.append((time.monotonic(), kind))
                    time.sleep(0.05)

        # One call at a time, so that one worker is enough and the other one never loads the function.
        caller = threading.Thread(target=client)
        caller.start()
        time.sleep(8)
        preferred = max(workers, key=lambda w: sum(c["at"] > time.monotonic() - 2 for c in w.arrived))
        other = next(w for w in workers if w is not preferred)
        if stand.TROUBLE:
            preferred.run = SLOW_S
        turned = time.monotonic()
        record.add(f"worker {preferred.name}: answers after {preferred.run} s from now on")
        time.sleep(MAX_UNUSED_S)
        stopped.set()
        caller.join()
        kinds = [kind for at, kind in answers if at > turned]
        used = sum(c["at"] > turned for c in other.arrived)
        counts = [kinds.count(kind) for kind in (SERVED, REFUSED, FAILED)]
        record.add(f"answers since then: {counts[0]} served, {counts[1]} refused, {counts[2]} failed; {other.name} was "
                   f"sent {used} calls")
        print(f"{counts[0]} served, {counts[1]} refused, {counts[2]} failed; {other.name} was sent {used} calls")
        if used or not counts[1]:
            return []
        return [f"{counts[1]} of {len(kinds)} reads were refused in {MAX_UNUSED_S:.0f} s while {other.name}, ready and "
                "idle, was sent none"]
    finally:
        stopped.set()
        programs.end()


stand.main(__file__, case)
