"""Nothing is sent to a worker after its drain counts as told, also while the name service says nothing (issue 41, 'drain')."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "stand"))
import stand  # noqa: E402
from thrift import message  # noqa: E402

# STANDING.md, herd+mass: 'discovery is down for 8 s'.
SILENT_S = 8.0
# PROTOCOL, 'Figures': 'Whatever the name service has to tell counts as told 7 s later at the latest, whether it arrived or not.'
TOLD_S = 7.0
# quito-main: 'later than 250 ms after the dispatcher was told that it drains or is gone'.
GRACE_S = 0.250


def case(record):
    names = stand.Names()
    workers = [stand.Worker(record, f"s-{n}", run=0.110, load=0.4) for n in range(6)]
    names.workers = workers
    programs = stand.Dispatchers(record, names, workers)
    going, calls = threading.Event(), [0]
    try:
        port, door = stand.free_port(), stand.free_port()
        programs.start([], programs.config("n0", port, door), "n0")
        programs.ready(door)

        def client(own):
            with socket.create_connection(("127.0.0.1", port), 5) as connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.settimeout(0.1)
                for seq in range(1, 1000):
                    if going.is_set():
                        return
                    calls[0] += 1
                    fields = {"op": "flow-read", "call": f"{own:04x}{seq:012x}", "ttl": "3000", "org": "agua-costa",
                              "row": f"{seq % 6 + 1:016x}", "info": "memory_mb:300;lanes:2;load_ms:400"}
                    connection.sendall(message(seq, fields, b"reading"))
                    try:
                        connection.recv(65536)
                    except TimeoutError:
                        pass

        clients = [threading.Thread(target=client, args=(own,)) for own in range(4)]
        for thread in clients:
            thread.start()
        time.sleep(3)
        names.silent = stand.TROUBLE
        record.add(f"name service: says nothing: {int(names.silent)}")
        time.sleep(0.1)
        names.draining = {"s-0", "s-1", "s-2"}
        names.serial += 1
        drained = time.monotonic()
        record.add("name service: s-0, s-1 and s-2 drain")
        time.sleep(SILENT_S - 0.1)
        names.silent = False
        record.add("name service: answers again")
        time.sleep(1.0)
        going.set()
        for thread in clients:
            thread.join()
        due = drained + TOLD_S + GRACE_S + stand.SLACK_S
        late = [(w.name, c["rid"], c["at"] - drained) for w in workers[:3] for c in w.arrived if c["at"] > due]
        if not late:
            return []
        return [f"{len(late)} calls went to workers that drain, as {late[0][1]} to {late[0][0]}, {late[0][2]:.2f} s after "
                f"the drain, which counts as told after {TOLD_S:.0f} s (grace {GRACE_S} s)"]
    finally:
        going.set()
        programs.end()


stand.main(__file__, case)
