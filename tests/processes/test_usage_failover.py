"""Usage reports while the leader is killed or suspended.

The tests guard against a window that is never reported, or that is reported
with two sets of figures by two processes that both believe they lead.
"""

import signal
import time
import unittest
from dataclasses import dataclass, field
from typing import Any

from parameterized import parameterized

from demo.deployment import wait_for
from goldcrestyard.plugins.usage.commands import (
    MeasuredUsage,
    RecordUsage,
    UsageLine,
)
from goldcrestyard.policy.usage_windows import window_of
from tests.fakes.deployments import two_regions
from tests.processes.ordering import (
    OrderingDeployment,
    commit,
    fetch_state,
    update_stand_in,
    usage_settings,
    wait_settled,
)


@dataclass(frozen=True)
class Case:
    """The abilities of a usage interface and a fault of the leader."""

    name: str
    fault: signal.Signals
    options: tuple[str, ...]
    settings: dict[str, Any] = field(default_factory=dict)
    in_doubt: bool = False


CASES = [
    Case("killed_keys", signal.SIGKILL, ()),
    Case("stopped_keys", signal.SIGSTOP, ()),
    Case(
        "stopped_fencing",
        signal.SIGSTOP,
        ("--check-fencing", "--ignore-keys"),
        {"checks_fencing": True, "honours_keys": False},
    ),
    Case(
        "killed_look_up_only",
        signal.SIGKILL,
        ("--ignore-keys",),
        {"honours_keys": False},
    ),
    Case(
        "stopped_nothing",
        signal.SIGSTOP,
        ("--ignore-keys",),
        {"honours_keys": False, "can_look_up": False},
        in_doubt=True,
    ),
]


def record(sequence: int, tokens: int) -> RecordUsage:
    line = UsageLine("tejo", "lm", 1, tokens, tokens)
    measured = MeasuredUsage(window_of(time.time(), 1), (line,))
    return RecordUsage("test-entry", "run-1", sequence, 1, (measured,))


class UsageFailoverTests(unittest.IsolatedAsyncioTestCase):
    """The leader fails while one of its reports is unanswered."""

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_report_under_way(self, _: str, case: Case) -> None:
        deployment = OrderingDeployment(two_regions(3))
        self.addAsyncCleanup(deployment.stop)
        interface = await deployment.start_receiver("usage_interface", *case.options)
        deployment.extra_settings = usage_settings(interface, **case.settings)
        await update_stand_in(interface, "options", hold=True)
        await deployment.start()
        await commit(deployment, record(1, 100))

        async def under_way(_: object) -> bool:
            return bool((await fetch_state(interface))["arrivals"])

        await wait_for(under_way, "a report to be under way")
        old = (await fetch_state(interface))["arrivals"][0]["sender"]
        process = deployment.processes_by_name[old]
        process.send_signal(case.fault)
        await update_stand_in(interface, "options", hold=False)
        # A late record must not change the figures of a closed window, and a
        # repeated record must not count again.
        await commit(deployment, record(1, 100))
        await commit(deployment, record(2, 7))
        orders = await wait_settled(deployment, not_by=old, at_least=2)
        self.assertEqual(bool(orders["in_doubt"]), case.in_doubt)
        if case.fault is signal.SIGSTOP:
            process.send_signal(signal.SIGCONT)
        await commit(deployment, record(3, 5))
        await wait_settled(deployment, at_least=3)
        self._check(await fetch_state(interface), old, orders["sender"])

    def _check(self, state: Any, old: str, new: str) -> None:
        senders = [arrival["sender"] for arrival in state["arrivals"]]
        self.assertEqual(senders, sorted(senders, key=[old, new].index))
        for window, reports in state["reports_by_window"].items():
            self.assertEqual(len(reports), 1, f"{window} was accepted twice")
        sent: dict[str, list[Any]] = {}
        for arrival in state["arrivals"]:
            figures = sent.setdefault(arrival["order_id"], [])
            if arrival["body"] not in figures:
                figures.append(arrival["body"])
        self.assertTrue(all(len(figures) == 1 for figures in sent.values()))
        tokens = sum(
            line["tokens_out"]
            for figures in sent.values()
            for line in figures[0]["lines"]
        )
        self.assertEqual(tokens, 112)
