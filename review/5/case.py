"""A node restarts after its upstream has left; then a status report arrives
that the upstream had sent before it left."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from platform_standins import BOUNDS, Client, Fleet, main, make_config

REPORT_DELAY_S = 3.5  # The last report before the leave arrives so much later.
RESTART_DELAY_S = 0.5


async def case(record, trouble):
    fleet = Fleet(record, ["viewdesk", "printhouse", "printhouse"])
    try:
        await fleet.start(
            make_config(1, ["viewdesk", "printhouse"],
                        [{"prefix": "/order/", "route_type": "non_idempotent",
                          "service": "printhouse"}]),
            work_s=0.3)
        entry, node, _ = fleet.nodes
        leaving = fleet.upstreams[1]

        # The report is on its way when the upstream leaves.
        late = leaving.report_body("ready")
        late_path = f"/v1/Instances.Heartbeat/{leaving.id}"
        record(f"upstream {leaving.id} sends report {late}, which is delayed")
        delivery = record.now() + REPORT_DELAY_S
        await asyncio.sleep(0.3)
        confirmed = await leaving.deregister()
        await asyncio.sleep(0.5)

        in_touch = record.now()
        if trouble:
            node.signal(signal.SIGKILL)
            await node.ended()
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start()
            in_touch = record.now() + BOUNDS["contact_ms"] / 1000
            await node.wait_ready()
        await asyncio.sleep(max(0, delivery - record.now()))
        status = await leaving.say(late_path, late)
        record(f"the delayed report arrives at {node.name}: {status}")

        # From here on all machines are in touch, and drain_ms is over.
        begin = max(in_touch, confirmed + BOUNDS["drain_ms"] / 1000) + 0.3
        await asyncio.sleep(max(0, begin - record.now()))
        record(f"all machines are in touch since {in_touch:.3f}; drain_ms is "
               f"over since {confirmed + BOUNDS['drain_ms'] / 1000:.3f}")
        client = Client(record, entry)
        tasks = []
        for _ in range(40):
            tasks.append(asyncio.create_task(
                client.request("POST", "/order/new", b"labels=100")))
            await asyncio.sleep(0.08)
        # The upstream has served long enough and exits.
        await leaving.stop()
        results = await asyncio.gather(*tasks)
        late_runs = {r for at, r in leaving.runs if at >= begin}
        lost = [r for r, status in results if r in late_runs and status != 200]
        record(f"{len(late_runs)} of {len(results)} orders reached the upstream "
               f"that had left; {len(lost)} of them ended without its answer")
        return not late_runs
    finally:
        await fleet.stop()


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
