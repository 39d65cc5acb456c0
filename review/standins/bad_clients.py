"""Bad clients: messages that never end, and the same again as soon as the server has turned them away.

Usage: bad_clients.py ADDRESS CLIENTS SECONDS
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from small_site import BEGIN, PARAMS, encode_pair, encode_record  # noqa: E402

PARAMETER = encode_pair(b"HTTP_X_NOTE", b"x" * 200)


async def read_all(reader):
    try:
        while await reader.read(65536):
            pass
    except OSError:
        pass


async def client(address, end):
    """Begins one request after the other, each with parameters that go on and on, until the connection is closed."""
    host, port = address.rsplit(":", 1)
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.05)
            continue
        closed = asyncio.ensure_future(read_all(reader))
        try:
            for slot in range(1, 33):
                writer.write(encode_record(BEGIN, slot, bytes([0, 1, 1, 0, 0, 0, 0, 0])))
                for _ in range(74):
                    if closed.done():
                        break
                    writer.write(encode_record(PARAMS, slot, PARAMETER))
                    await writer.drain()
            await asyncio.wait([closed], timeout=max(0.0, end - time.monotonic()))
        except OSError:
            pass
        finally:
            closed.cancel()
            writer.close()


async def main():
    address, clients, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    end = time.monotonic() + seconds
    await asyncio.gather(*(client(address, end) for _ in range(clients)))


asyncio.run(main())
