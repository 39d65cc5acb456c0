"""Bad clients send messages that never end while balancers send their usual requests."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(os.path.dirname(FOLDER), "standins")
sys.path.insert(0, STANDINS)
import small_site as site  # noqa: E402

SECONDS = 40
RATE = 12  # bursts a second
BURST = (1, 6)  # usual requests at once
OPEN = 12  # requests that a balancer opens on a connection before it takes another one
IDLE = 3  # seconds after which a balancer closes an idle connection
BAD_CLIENTS = 240
PROCESSES = 3  # that they are spread over
CROSSING = 0.05  # a request that crosses the close of a connection within this time is sent again
ALLOWED = 0.003  # share of requests that may go without an answer before the rule is broken


async def case(record):
    random.seed(1)
    world = site.World()

    async def plan(run):
        await asyncio.sleep(random.uniform(0.1, 0.5))
        return b"result of " + run.id.encode() + b"." * 3900

    agent = site.Agent(record, world, plan)
    world.agent = agent
    records = site.Records(record, agent, None, None)
    announce = site.Announce(record)
    listen = await site.free_address()
    config = site.configuration(listen, await agent.listen(), await records.listen(), await announce.listen())
    config["limits"].update(memory_mb=32, sockets=512)
    server = site.Server(record, config)
    requests, connections, bad = [], [], []
    try:
        await server.start()
        await site.wait_ready(announce)
        loop = asyncio.get_running_loop()
        if site.TROUBLE:
            for _ in range(PROCESSES):
                bad.append(await asyncio.create_subprocess_exec(
                    sys.executable, "-B", os.path.join(STANDINS, "bad_clients.py"), listen,
                    str(BAD_CLIENTS // PROCESSES), str(SECONDS + 3), preexec_fn=site.die_with_parent))
            record.write(f"bad clients: {BAD_CLIENTS} started")
            await asyncio.sleep(2)
        end = loop.time() + SECONDS
        while loop.time() < end:
            for connection in list(connections):
                if connection.closed.is_set():
                    connections.remove(connection)
                elif not connection.open and loop.time() - connection.used > IDLE:
                    connections.remove(connection)
                    connection.close()
            connection = min(connections, key=lambda connection: len(connection.open), default=None)
            if connection is None or len(connection.open) >= OPEN:
                try:
                    connection = await asyncio.wait_for(site.Connection(record, world, listen).connect(), 3)
                except (OSError, asyncio.TimeoutError):
                    continue
                connections.append(connection)
            connection.used = loop.time()
            burst = [site.Request("book-room", b"b" * 2048, 5400, budget_ms=4000)
                     for _ in range(random.randint(*BURST))]
            try:
                await connection.send(*burst)
                requests.extend(burst)
            except OSError:
                pass  # the connection ended before the requests were written
            await asyncio.sleep(random.expovariate(RATE))
        await asyncio.wait([asyncio.ensure_future(request.done.wait()) for request in requests], timeout=6)
        if server.process.returncode is not None:
            return [f"the server has ended with {server.process.returncode}"]
    finally:
        for process in bad:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await server.stop()

    # The check: a usual request that was written whole has an answer by the deadline of its class, which is later than the
    # time that it states. Left out is what the pages excuse: a connection on which nothing was run or answered, one that
    # had no other request open, and a close within 50 ms.
    has_run = {world.requests[run.id].connection for run in agent.started_runs}
    lost = []
    for request in requests:
        if request.answered_at is not None and request.answered_at <= request.due_at + 0.11:
            continue
        closed_at = request.connection.closed_at
        crossed = closed_at is not None and closed_at - request.written_at < CROSSING
        served = request.connection in has_run and request.answers_before > 0
        if served and request.others > 0 and not crossed:
            after = "was never closed" if closed_at is None else f"ended {closed_at - request.written_at:.2f} s later"
            lost.append(f"{request.id} has no answer in time ({request.others} others were open, the connection {after})")
    statuses = {}
    for request in requests:
        statuses[request.status] = statuses.get(request.status, 0) + 1
    shown = ", ".join(f"{status} {count}" for status, count in sorted(statuses.items(), key=str))
    summary = f"{len(requests)} usual requests ({shown}); {len(lost)} lost, {ALLOWED * len(requests):.1f} allowed"
    record.write(summary)
    print(summary)
    if statuses.get(200, 0) < 50:
        raise site.NotRun("hardly any request was served")
    return lost if len(lost) > ALLOWED * len(requests) else []


site.main(FOLDER, case)
