"""Command line that runs one process on the platform in a given role."""

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import structlog

from goldcrestyard import daemon
from goldcrestyard.kernel import logs, registry
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.checks import has_errors
from goldcrestyard.kernel.clock import SuspendAwareEventLoop
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.platform import settings as platform_settings
from goldcrestyard.platform.names import SETTINGS_VARIABLE

logger = structlog.get_logger(__name__)

PLUGINS_BY_ROLE = {
    "front": (
        "goldcrestyard.plugins.peers",
        "goldcrestyard.plugins.entry",
        "goldcrestyard.fleet.member_lists",
        "goldcrestyard.fleet.observability",
        "goldcrestyard.fleet.memory",
        "goldcrestyard.fleet.limits",
        "goldcrestyard.fleet.crashes",
        "goldcrestyard.fleet.leaving",
        "goldcrestyard.fleet.serving",
        "goldcrestyard.fleet.tracking",
        "goldcrestyard.fleet.evacuations",
        "goldcrestyard.fleet.resumption",
        "goldcrestyard.fleet.directory",
        "goldcrestyard.fleet.metering",
        "goldcrestyard.fleet.jobs",
        "goldcrestyard.fleet.gateway",
        "goldcrestyard.platform.targets",
        "goldcrestyard.platform.metrics",
        "goldcrestyard.platform.callers",
    ),
    "control": (
        "goldcrestyard.plugins.peers",
        "goldcrestyard.fleet.assembly",
        "goldcrestyard.fleet.member_lists",
        "goldcrestyard.fleet.observability",
        "goldcrestyard.fleet.memory",
        "goldcrestyard.fleet.limits",
        "goldcrestyard.fleet.crashes",
        "goldcrestyard.fleet.leaving",
        "goldcrestyard.fleet.serving",
        "goldcrestyard.fleet.tracking",
        "goldcrestyard.fleet.evacuations",
        "goldcrestyard.fleet.resumption",
        "goldcrestyard.fleet.directory",
        "goldcrestyard.fleet.metering",
        "goldcrestyard.fleet.versions",
        "goldcrestyard.fleet.jobs",
        "goldcrestyard.fleet.rentals",
        "goldcrestyard.platform.targets",
        "goldcrestyard.platform.metrics",
        "goldcrestyard.platform.duties",
        "goldcrestyard.platform.control",
    ),
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Parse the command line, run the process and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="goldcrestyard.platform",
        description="Run one process of goldcrestyard on the users' platform.",
        epilog="Exit codes: 0 stopped as planned, 1 failed, 2 invalid settings.",
    )
    parser.add_argument("role", choices=sorted(PLUGINS_BY_ROLE))
    parser.add_argument(
        "--check", action="store_true", help="check the settings file, then exit"
    )
    options = parser.parse_args(arguments)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings, problems = platform_settings.decode(path)
    for line in daemon.report_lines(path, problems):
        print(line, file=sys.stderr)
    if has_errors(problems):
        return daemon.EXIT_BAD_SETTINGS
    if options.check:
        print(f"{path}: settings are valid")
        return daemon.EXIT_OK
    name = platform_settings.machine_name(settings)
    output = logs.configure_bounded(name)
    plugin_classes = registry.load_plugins(PLUGINS_BY_ROLE[options.role])
    try:
        with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
            return runner.run(_run(path, settings, plugin_classes))
    finally:
        output.close()


async def _run(
    path: Path, settings: Settings, plugin_classes: list[type[PluginConfig]]
) -> int:
    def check_settings_file() -> None:
        _, problems = platform_settings.decode(path)
        logger.info(
            "settings file checked; the running settings stay in force",
            problems=[str(problem) for problem in problems],
        )

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, check_settings_file)
    return await daemon.run(settings, plugin_classes)


if __name__ == "__main__":
    sys.exit(main())
