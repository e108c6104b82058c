"""Operator interface for usage windows, on control members."""

from aiohttp import web

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.operators.authorisation import (
    operator_of,
    unknown_operator,
)
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.usage.slices import UsageSlice


class UsageViews:
    """Serves ``/operator/v1/usage``."""

    def __init__(self, member: ControlMember, operators: OperatorSettings) -> None:
        self._usage = member.machine.get(UsageSlice)
        self._operators = operators

    async def usage(self, request: web.Request) -> web.StreamResponse:
        """List the open windows, and the closed ones with report states."""
        if operator_of(request, self._operators) is None:
            return unknown_operator()
        return json_answer(
            {
                "last_closed": self._usage.last_closed,
                "open": {
                    str(window): list(totals.values())
                    for window, totals in self._usage.open_by_window.items()
                },
                "closed": list(self._usage.closed_by_order.values()),
            }
        )
