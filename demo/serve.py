"""Keeps the demo's processes running and says how to reach them.

Prints exactly one line, a JSON object, on standard output once all is ready,
and stops everything on SIGTERM or Ctrl-C.
"""

import asyncio
import json
import signal
import sys

from demo.local_set import LocalSet


async def serve() -> None:
    """Run the set until a signal comes."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    local_set = LocalSet.create()
    starting = asyncio.create_task(local_set.start())
    stopping = asyncio.create_task(stop.wait())
    try:
        await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            await starting
            print(json.dumps(local_set.description()), flush=True)
            await stop.wait()
    finally:
        starting.cancel()
        stopping.cancel()
        await asyncio.gather(starting, stopping, return_exceptions=True)
        await local_set.stop()


def main() -> int:
    """Run the program."""
    asyncio.run(serve())
    return 0


if __name__ == "__main__":
    sys.exit(main())
