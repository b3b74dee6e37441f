#!/usr/bin/env python3
"""Stand-ins for many engines that only announce themselves: each reports once
a second, on a connection of its own, always to the same entry.

Reads one JSON object from stdin: {"key", "engines": [{"entry": "H:P",
"report": a whole announcement}]}.  Prints "ready" once all were answered, then
goes on until its stdin is closed."""
import asyncio
import json
import os
import sys

REPORT_S = 1.0
UNCHANGED = ("kind", "service", "address", "region", "zone", "accelerators",
             "memory_mb", "fenced", "copies")


async def post(reader, writer, host, key, body):
    """One announcement; returns the answer.  A refusal ends the program."""
    data = json.dumps(body).encode()
    writer.write((f"POST /v1/backends/announce HTTP/1.1\r\nHost: {host}\r\n"
                  f"Authorization: Bearer {key}\r\n"
                  "Content-Type: application/json\r\n"
                  f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.split("content-length:")[1].split("\r\n")[0])
    answer = json.loads(await reader.readexactly(length))
    if head.split()[1] == "400":
        print(answer, flush=True)
        os._exit(1)
    return answer


async def engine(one, key, delay, answered):
    """Announces ONE for ever; a broken connection is opened anew."""
    host, port = one["entry"].rsplit(":", 1)
    report, seq = dict(one["report"]), 0
    await asyncio.sleep(delay)
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            while True:
                seq += 1
                answer = await post(reader, writer, host, key,
                                    {**report, "seq": seq})
                if answer.get("whole") or "error" in answer:
                    report = dict(one["report"])
                else:
                    for name in UNCHANGED:
                        report.pop(name, None)
                    answered()
                await asyncio.sleep(REPORT_S)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            report = dict(one["report"])
            await asyncio.sleep(REPORT_S)


async def run(order):
    engines = order["engines"]
    seen = set()

    def answered(name):
        if name not in seen:
            seen.add(name)
            if len(seen) == len(engines):
                print("ready", flush=True)
    tasks = [asyncio.create_task(
        engine(one, order["key"], i * REPORT_S / len(engines),
               lambda name=one["report"]["name"]: answered(name)))
             for i, one in enumerate(engines)]
    end = asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await end
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(run(json.loads(sys.stdin.readline())))
