"""Runs the processes of the demo until it is stopped.

Once all are ready it prints exactly one line on standard output, a JSON object
with their addresses and keys.  SIGTERM or Ctrl-C stops everything.
"""

import asyncio
import json
import signal
import sys

from demo.local_set import DemoDeployment


async def serve() -> None:
    """Run the deployment until SIGTERM or SIGINT arrives."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    demo = DemoDeployment.create()
    starting = asyncio.create_task(demo.start())
    stopping = asyncio.create_task(stop.wait())
    try:
        await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            await starting
            print(json.dumps(demo.description()), flush=True)
            await stop.wait()
    finally:
        starting.cancel()
        stopping.cancel()
        await asyncio.gather(starting, stopping, return_exceptions=True)
        await demo.stop()


def main() -> int:
    """Run the demo until it is stopped; return the exit code."""
    asyncio.run(serve())
    return 0


if __name__ == "__main__":
    sys.exit(main())
