"""No attempt begins for clients that left while the dispatcher stood still in the middle of a turn (KNOWN-RED.txt, 'gone').

Each round sends a burst of 200 calls, stops the dispatcher (SIGSTOP) 0 to 4 ms later, lets all clients close, and continues
it 0.6 s later. The rounds end at the first break."""

import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "stand"))
import stand  # noqa: E402
from thrift import message  # noqa: E402

# STANDING.md: 'an attempt that begins more than 0.1 s later is a break'.
GONE_S = 0.1
PAUSE_S = 0.6
ROUNDS, CLIENTS, EACH = 60, 10, 20


def case(record):
    names = stand.Names()
    workers = [stand.Worker(record, f"s-{n}", run=0.110, load=0.4) for n in range(12)]
    names.workers = workers
    programs = stand.Dispatchers(record, names, workers)
    left, number = {}, 0
    try:
        port, door = stand.free_port(), stand.free_port()
        dispatcher = programs.start([], programs.config("n0", port, door), "n0")
        programs.ready(door)
        for place in range(ROUNDS):
            clients, bursts, calls = [], [], []
            for _ in range(CLIENTS):
                client = socket.create_connection(("127.0.0.1", port), 2)
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                burst = b""
                for seq in range(1, EACH + 1):
                    number += 1
                    calls.append(f"{number:016x}")
                    name, ttl = (("flow-read", "3000"), ("alert-send", "2000"))[seq % 2]
                    fields = {"op": name, "call": calls[-1], "ttl": ttl, "org": "agua-costa",
                              "row": f"{number % 24 + 1:016x}", "info": "memory_mb:300;lanes:2;load_ms:400"}
                    burst += message(seq, fields, b"reading")
                clients.append(client)
                bursts.append(burst)
            time.sleep(0.05)
            record.add(f"client: round {place}: {len(calls)} calls, {calls[0]} to {calls[-1]}")
            for client, burst in zip(clients, bursts):
                client.sendall(burst)
            wait = time.perf_counter() + place % 8 * 0.0005
            while time.perf_counter() < wait:
                pass
            if stand.TROUBLE:
                dispatcher.send_signal(signal.SIGSTOP)
            time.sleep(0.02)
            for client in clients:
                client.close()
            left.update((call, time.monotonic()) for call in calls)
            record.add("client: all clients have closed")
            time.sleep(PAUSE_S)
            if stand.TROUBLE:
                dispatcher.send_signal(signal.SIGCONT)
                record.add(f"process n0 continued after {PAUSE_S} s")
            time.sleep(0.4)
            late = [(c["rid"], c["class"], c["at"] - left[c["rid"]]) for w in workers for c in w.arrived
                    if c["rid"] in left and c["at"] > left[c["rid"]] + GONE_S + stand.SLACK_S]
            if late:
                return [f"{len(late)} attempts began for clients that had left, as call {late[0][0]} ({late[0][1]}), "
                        f"{late[0][2]:.2f} s after its client closed; round {place}"]
        return []
    finally:
        programs.end()


stand.main(__file__, case)
