"""Probe, no case: a write of the replicated store that was acknowledged and overwritten is applied once more.

Three servers keep a replicated store (docs/operating/record.md). Their leader is stopped (SIGSTOP); documents are written
at a follower, which forwards the writes to the leader that does not answer. A new leader is elected, the writes are
acknowledged, and each document is written again. Then more entries are written than the store remembers outcomes
(4,096), and the old leader goes on (SIGCONT). It finds the forwarded writes in its sockets.

Exit code 1 if a document then has the content that was overwritten; 0 if not; 2 if the probe could not run.
Usage: stale_write.py [PLAYS]
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins"))
import small_site as site  # noqa: E402

BINARY = os.path.join(site.ROOT, "target", "release", "umberloom")
SERVERS, DOCUMENTS, NOTES, WORKERS = 3, 6, 4400, 7
STOPPED = 20  # seconds


async def record(operator, at, *words):
    """Runs `umberloom fleet record`; returns its exit code and what it printed."""
    process = await asyncio.create_subprocess_exec(
        BINARY, "fleet", "record", "--operator", operator, "--at", at, *words,
        stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def play(folder, processes):
    fleet = [await site.free_address() for _ in range(SERVERS)]
    operators = []
    for number in range(SERVERS):
        peers = "\n".join(f'peer "n{other}" address="{fleet[other]}"' for other in range(SERVERS) if other != number)
        operators.append(os.path.join(folder, f"operator{number}.kdl"))
        with open(operators[-1], "w") as file:
            file.write(f'fleet "desks" {{\nlisten "{fleet[number]}"\nsecret "probe"\n{peers}\n'
                       f'record voters=3 election-ms=1000 {{\nfolder "{folder}/record{number}"\n}}\n}}\n')
        config = site.configuration(*[await site.free_address() for _ in range(4)])
        config["name"] = f"n{number}"
        with open(os.path.join(folder, f"config{number}.json"), "w") as file:
            json.dump(config, file)
        processes.append(subprocess.Popen(
            [BINARY, "serve", "--config", os.path.join(folder, f"config{number}.json"), "--operator", operators[-1]],
            stderr=subprocess.DEVNULL, cwd=folder, preexec_fn=site.die_with_parent))
    end = time.monotonic() + 30
    while True:
        code, output = await record(operators[0], fleet[0], "--json", "status")
        status = json.loads(output) if code == 0 else {}
        if status.get("leader") and sum(copy["votes"] for copy in status["copies"]) == SERVERS:
            break
        if time.monotonic() > end:
            raise site.NotRun("no leader with three voters within 30 s")
        await asyncio.sleep(0.2)
    leader = int(status["leader"][1:])
    follower = (leader + 1) % SERVERS

    async def write_all(content):
        path = os.path.join(folder, content)
        with open(path, "w") as file:
            file.write(content)
        written = await asyncio.gather(*(record(operators[follower], fleet[follower], "put", f"document{number}", path)
                                         for number in range(DOCUMENTS)))
        return sum(code == 0 for code, _ in written)

    begun = time.monotonic()
    processes[leader].send_signal(signal.SIGSTOP)
    old, new = await write_all("old"), await write_all("new")
    notes = iter(range(NOTES))

    async def write_notes():
        for number in notes:
            await record(operators[follower], fleet[follower], "note", f"note {number}")

    await asyncio.gather(*(write_notes() for _ in range(WORKERS)))
    took = time.monotonic() - begun
    await asyncio.sleep(max(0.0, STOPPED - took))
    processes[leader].send_signal(signal.SIGCONT)
    await asyncio.sleep(4)
    shown = await asyncio.gather(*(record(operators[follower], fleet[follower], "show", f"document{number}")
                                   for number in range(DOCUMENTS)))
    back = sum(code == 0 and output.rstrip().endswith("old") for code, output in shown)
    print(f"acknowledged: {old} old, {new} new; {NOTES} notes after {took:.1f} s; "
          f"documents that are old again: {back} of {DOCUMENTS}", flush=True)
    return back


async def main():
    back = 0
    for _ in range(int(sys.argv[1]) if len(sys.argv) > 1 else 1):
        folder, processes = tempfile.mkdtemp(prefix="umberloom-review-"), []
        try:
            back += await play(folder, processes)
        finally:
            for process in processes:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            shutil.rmtree(folder, ignore_errors=True)
    return site.BROKEN if back else site.HELD


try:
    code = asyncio.run(main())
except Exception as error:  # the probe says nothing then
    print(f"the probe could not run: {error!r}", file=sys.stderr)
    code = site.NOT_RUN
sys.exit(code)
