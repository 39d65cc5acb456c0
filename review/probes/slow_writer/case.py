"""A client writes a request slowly on a connection on which it has another request open."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "standins"))
import small_site as site  # noqa: E402

WRITES = (2.3, 2.6)  # seconds in which a request is written, one for each client
PIECES = 40
RUN = 3.5  # seconds that the runs of the other requests take
CROSSING = 0.05  # a request that crosses the close of a connection within this time is sent again


async def client(record, world, listen, write_seconds):
    """One request that is open for some seconds, one that is written slowly behind it, and a usual one after that.

    Returns them all; only the first if the connection was closed before the second was written whole.
    """
    connection = await site.Connection(record, world, listen).connect()
    first = site.Request("night-plan", b"long", 13000, budget_ms=9000)
    await connection.send(first)
    second = site.Request("night-plan", b"slow", 13000, budget_ms=9000)
    slot = connection.free_slot()
    connection.open[slot] = second
    world.requests[second.id] = second
    data = b"".join(second.encode(slot))
    size = -(-len(data) // PIECES) if site.TROUBLE else len(data)
    pieces = [data[start:start + size] for start in range(0, len(data), size)]
    record.write(f"balancer: {second.id} begun, {len(data)} bytes in {len(pieces)} pieces")
    for number, piece in enumerate(pieces):
        if number > 0:
            await asyncio.sleep(write_seconds / (len(pieces) - 1))
        if connection.closed.is_set():
            record.write(f"balancer: the connection of {second.id} was closed before its last byte was written")
            first.ended_at = time.time()
            return [first]
        connection.writer.write(piece)
        await connection.writer.drain()
    second.written_at = time.time()
    record.write(f"balancer: last byte of {second.id} written {write_seconds if site.TROUBLE else 0} s after its first")
    third = site.Request("night-plan", b"usual", 13000, budget_ms=9000)
    await connection.send(third)
    for request in (first, second, third):
        try:
            await asyncio.wait_for(request.done.wait(), max(0.1, request.due_at + 0.15 - time.time()))
        except asyncio.TimeoutError:
            record.write(f"balancer: {request.id} has no answer by its due time")
        request.ended_at = time.time()
    return [first, second, third]


async def case(record):
    world = site.World()

    async def plan(run):
        await asyncio.sleep(RUN if run.body == b"long" else 0.05)
        return b"plan of " + run.id.encode()

    agent = site.Agent(record, world, plan)
    world.agent = agent
    records = site.Records(record, agent, None, None)
    announce = site.Announce(record)
    listen = await site.free_address()
    addresses = await agent.listen(), await records.listen(), await announce.listen()
    server = site.Server(record, site.lamp_configuration(listen, *addresses))
    try:
        await server.start()
        await site.wait_ready(announce)
        clients = await asyncio.gather(*(client(record, world, listen, seconds) for seconds in WRITES))
    finally:
        await server.stop()

    # The check: a request whose last byte was written to the open connection gets one whole answer by its due time.
    broken = []
    for request in (request for requests in clients for request in requests):
        if request.answered_at is None:
            after = request.ended_at - request.written_at
            if request.status == "closed" and after < CROSSING:
                continue
            broken.append(f"{request.id} ({request.body.decode()}) got no answer: the connection was closed "
                          f"{after:.2f} s after its last byte was written")
        elif request.answered_at > request.due_at + 0.15:
            broken.append(f"{request.id} ({request.body.decode()}) was answered late: {request.outcome()}")
    summary = "; ".join(" and ".join(f"{request.body.decode()}: {request.outcome()}" for request in requests)
                        for requests in clients)
    record.write(summary)
    print(summary)
    if not any(len(requests) == 3 and requests[0].status == 200 and requests[0].answered_at > requests[2].written_at
               for requests in clients):
        raise site.NotRun("no request was written whole while another one was open on its connection")
    return broken


site.main(FOLDER, case)
