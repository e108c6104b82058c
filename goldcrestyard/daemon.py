"""``goldcrestd``, the daemon that runs one instance.

It loads the settings, runs the checks of all plug-ins, and runs the
application until SIGTERM or SIGINT.  A planned stop waits for running requests
up to ``instance.drain_seconds``.
"""

import argparse
import asyncio
import signal
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
import structlog

from goldcrestyard import __version__
from goldcrestyard.kernel import logs, registry
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.build_info import read_commit
from goldcrestyard.kernel.checks import Problem, Severity, has_errors, run_checks
from goldcrestyard.kernel.default_settings import InstanceSettings, MemorySettings
from goldcrestyard.kernel.settings import Settings, load

logger = structlog.get_logger(__name__)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def section_classes(
    plugin_classes: Sequence[type[PluginConfig]],
) -> dict[str, type]:
    """Return the settings classes of all plug-ins by their TOML table."""
    classes: dict[str, type] = {
        "instance": InstanceSettings,
        "memory": MemorySettings,
    }
    for plugin in plugin_classes:
        if plugin.settings_class is not None:
            classes[plugin.settings_section] = plugin.settings_class
    return classes


def load_settings(
    path: Path, plugin_classes: Sequence[type[PluginConfig]]
) -> tuple[Settings, list[Problem]]:
    """Load a settings file and run the checks of all plug-ins on it."""
    settings, problems = load(path, section_classes(plugin_classes))
    checks = [check for plugin in plugin_classes for check in plugin.checks]
    return settings, problems + run_checks(settings, checks)


async def run(settings: Settings, plugin_classes: list[type[PluginConfig]]) -> int:
    """Run the application until it is stopped; return the exit code."""
    logger.info("instance starting", version=__version__, commit=read_commit())
    app = Application(settings, plugin_classes)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, app.stop_requested.set)
    app.ready()
    await app.start()
    logger.info("instance started")
    await app.stop_requested.wait()
    logger.info("shutdown requested; waiting for running requests")
    drain_seconds = settings.section(InstanceSettings).drain_seconds
    failed = app.failed
    # The subscription must keep running during the drain: without its lease
    # the entry would have to cancel the requests that it waits for.
    await app.leave()
    try:
        async with asyncio.timeout(drain_seconds):
            await app.drain()
    except TimeoutError:
        logger.warning(
            "drain timed out; cancelling running requests", drain_seconds=drain_seconds
        )
    await app.stop()
    return EXIT_FAILED if failed else EXIT_OK


def report_lines(path: Path, problems: Sequence[Problem]) -> Iterator[str]:
    """Yield all problems with their hints as text, errors first."""
    errors = sum(problem.level is Severity.ERROR for problem in problems)
    for problem in sorted(
        problems, key=lambda problem: problem.level is Severity.WARNING
    ):
        yield str(problem)
        yield f"    hint: {problem.hint}"
    if problems:
        yield f"{path}: {errors} errors, {len(problems) - errors} warnings"


def report_as_json(path: Path, problems: Sequence[Problem]) -> str:
    """Return all problems as a JSON object."""
    report = {
        "file": str(path),
        "valid": not has_errors(problems),
        "problems": problems,
    }
    return msgspec.json.encode(report).decode()


def main(arguments: Sequence[str] | None = None) -> int:
    """Parse the command line, run the daemon and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="goldcrestd",
        description="Run one instance of goldcrestyard.",
        epilog="Exit codes: 0 stopped as planned, 1 failed, 2 invalid settings.",
    )
    parser.add_argument("settings", type=Path, help="settings file (TOML)")
    parser.add_argument(
        "--check",
        action="store_true",
        help="report all problems in the settings file with hints, then exit",
    )
    parser.add_argument(
        "--json",
        action="store_true",
        help="with --check: print the problems as one JSON object",
    )
    options = parser.parse_args(arguments)
    if options.json and not options.check:
        parser.error("--json requires --check")
    plugin_classes = registry.discover_plugins()
    settings, problems = load_settings(options.settings, plugin_classes)
    if options.json:
        print(report_as_json(options.settings, problems))
    else:
        for line in report_lines(options.settings, problems):
            print(line, file=sys.stderr)
    if has_errors(problems):
        return EXIT_BAD_SETTINGS
    if options.check:
        if not options.json:
            print(f"{options.settings}: settings are valid")
        return EXIT_OK
    instance = settings.section(InstanceSettings)
    logs.configure(instance.id, instance.log_level)
    return asyncio.run(run(settings, plugin_classes))


if __name__ == "__main__":
    sys.exit(main())
