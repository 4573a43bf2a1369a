"""The answer to a call of an earlier session must not acknowledge a call of the station's new session."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "stand"))
import stand  # noqa: E402

# quito-main: alert-send is 'given up after 2 s'; its models take '0.41 to 0.86 s to load on average', its work
# '130 to 230 ms'.
TTL_MS, LOAD_S, RUN_S = 2000, 0.8, 0.2
GRACE_S = 0.016
FIRST, SECOND = "7f3a9c21e0b4d655", "7f3a9c21e0b4d656"
CALL_A, CALL_B = "00000000000000aa", "00000000000000bb"


def call(number, function):
    return [("op", "alert-send"), ("call", number), ("ttl", str(TTL_MS)), ("org", "agua-costa"), ("row", function),
            ("info", f"memory_mb:400;lanes:2;load_ms:{int(LOAD_S * 1000)}")]


def case(record):
    names = stand.Names()
    workers = [stand.Worker(record, f"s-{n}", run=RUN_S, load=LOAD_S) for n in range(3)]
    names.workers = workers
    programs = stand.Dispatchers(record, names, workers)
    try:
        port, door, listen = stand.free_port(), stand.free_port(), stand.free_port()
        users = programs.file("users.toml", f"""[user.station]
password = "{stand.password_hash('secret')}"
clients = ["st-*"]
publish = ["in/{{client}}/#"]
subscribe = ["out/{{client}}/#"]
""")
        operator = programs.file("stations.toml", f'[stations]\nlisten = "127.0.0.1:{listen}"\nusers = "{users}"\n')
        programs.start(["run", "--operator", operator], programs.config("n0", port, door), "n0")
        programs.ready(door)

        def connect():
            return stand.Station(record, listen, "st-1", "secret", clean=True, expiry=0)

        station = connect()
        station.publish(1, call(CALL_A, FIRST))
        stand.until(lambda: any(w.arrived for w in workers), 2, "a worker has the first call")
        time.sleep(0.3)
        if stand.TROUBLE:
            # The station's connection breaks; it connects again with a new session, whose packet ids start at 1.
            station.cut()
            time.sleep(0.1)
            station, number = connect(), 1
        else:
            number = 2
        station.publish(number, call(CALL_B, SECOND))
        sent = time.monotonic()
        time.sleep(TTL_MS / 1000 + 1.0)

        acks = [a for a in station.acks if a["id"] == number]
        own = [a for a in acks if a["user"].get("call") == CALL_B]
        foreign = [a for a in acks if a["user"].get("call") != CALL_B]
        ran = [c["at"] for w in workers for c in w.ran if c["rid"] == CALL_B]
        breaks = []
        for ack in foreign:
            state = "before" if not ran or ack["at"] < ran[0] + RUN_S else "after"
            breaks.append(f"the acknowledgement of call {CALL_B} told the answer of call {ack['user'].get('call')} "
                          f"({ack['user'].get('status')}), {state} a worker had run it")
        if not [a for a in own if a["at"] <= sent + TTL_MS / 1000 + GRACE_S + stand.SLACK_S]:
            breaks.append(f"call {CALL_B} never got its own final answer (waited {TTL_MS} ms and 1 s more)")
        if not ran:
            raise stand.NotRun(f"call {CALL_B} was not run")
        return breaks
    finally:
        programs.end()


stand.main(__file__, case)
