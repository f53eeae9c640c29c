"""Some upstreams spoil some of their answers: wrong bytes follow the last
chunk."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from platform_standins import Client, Fleet, Supervisor, main, make_config

# Two of four upstreams spoil each 33rd answer, for 5 s, six times.
SPOILING_UPSTREAMS = 2
SPOILED_ANSWER = 33
SPOIL_S = 5
PAUSE_S = 3
PERIODS = 6
WRONG_BYTES = 70_000
ORDERS_PER_S = 60


async def case(record, trouble):
    fleet = Fleet(record, ["viewdesk"] + ["printhouse"] * 4)
    supervisor = None
    try:
        await fleet.start(
            make_config(1, ["viewdesk", "printhouse"],
                        [{"prefix": "/order/", "route_type": "non_idempotent",
                          "service": "printhouse"}]))
        supervisor = Supervisor(record, fleet)
        begin = record.now()

        def garble_of(upstream):
            answers = 0

            async def garble(writer, request, body):
                nonlocal answers
                if (record.now() - begin) % (SPOIL_S + PAUSE_S) > SPOIL_S:
                    return False
                answers += 1
                if answers % SPOILED_ANSWER != 0:
                    return False
                record(f"upstream {upstream.id} spoils its answer to {request}")
                writer.write(
                    f"HTTP/1.1 200 OK\r\nX-Comfreylock-Request-Id: {request}"
                    f"\r\nX-Comfreylock-Server-Signature: s.{request}\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                    f"{len(body):x}\r\n".encode() + body +
                    b"\r\n0\r\n" + b"x" * WRONG_BYTES + b": x\r\n\r\n")
                await writer.drain()
                return True
            return garble

        if trouble:
            for upstream in fleet.upstreams[1:1 + SPOILING_UPSTREAMS]:
                upstream.garble = garble_of(upstream)
        orders = []
        count = ORDERS_PER_S * PERIODS * (SPOIL_S + PAUSE_S)
        for i in range(count):
            await asyncio.sleep(max(0, begin + i / ORDERS_PER_S - record.now()))
            client = Client(record, fleet.nodes[i % len(fleet.nodes)])
            orders.append(asyncio.create_task(
                client.request("POST", "/order/new", b"labels=100")))
        statuses = [status for _, status in await asyncio.gather(*orders)]
        record(f"answers: { {s: statuses.count(s) for s in set(statuses)} }")
        for name, ends in supervisor.ends.items():
            record(f"{name} ended by itself {ends} times")
        often = [n for n, ends in supervisor.ends.items() if ends >= 3]
        return len(often) < 2
    finally:
        if supervisor:
            supervisor.stop()
        await fleet.stop()


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
