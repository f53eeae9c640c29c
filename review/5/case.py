"""Upstreams read the bodies of uploads slowly. The supervisor kills a node
whose memory exceeds the machine's limit, as the platform does."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from platform_standins import Client, Fleet, Supervisor, main, make_config

UPLOAD_BYTES = 8_000_000
UPLOADS_PER_S = 10
UPLOAD_TIME_S = 40
SLOW_READ_BYTES_PER_S = 2_000_000


async def case(record, trouble):
    fleet = Fleet(record, ["viewdesk", "certbox", "certbox"])
    supervisor = None
    try:
        await fleet.start(
            make_config(1, ["viewdesk", "certbox"],
                        [{"prefix": "/upload/", "route_type": "upload",
                          "service": "certbox", "timeout_ms": 5000}]),
            work_s=0.26, slots=55)
        supervisor = Supervisor(record, fleet)
        if trouble:
            for upstream in fleet.upstreams:
                upstream.read_rate = SLOW_READ_BYTES_PER_S
            record(f"upstreams read {SLOW_READ_BYTES_PER_S} bytes a second of "
                   "each request")
        body = bytes(UPLOAD_BYTES)
        uploads = []
        for i in range(UPLOADS_PER_S * UPLOAD_TIME_S):
            client = Client(record, fleet.nodes[i % len(fleet.nodes)])
            uploads.append(asyncio.create_task(
                client.request("POST", "/upload/photo", body)))
            await asyncio.sleep(1 / UPLOADS_PER_S)
        statuses = [status for _, status in await asyncio.gather(*uploads)]
        record(f"answers: { {s: statuses.count(s) for s in set(statuses)} }")
        for node in fleet.nodes:
            record(f"{node.name}: peak {supervisor.peak[node.name]:.0f} MB, "
                   f"ended {supervisor.ends[node.name]} times")
        often = [n for n, ends in supervisor.ends.items() if ends >= 3]
        return len(often) < 2
    finally:
        if supervisor:
            supervisor.stop()
        await fleet.stop()


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
