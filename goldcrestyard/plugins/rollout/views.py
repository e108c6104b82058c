"""Shows operators the rollouts, on the leader."""

from aiohttp import web

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.operators.authorisation import (
    operator_of,
    unknown_operator,
)
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.rollout.rollout import Rollouts, shown


class RolloutViews:
    """Serves ``/operator/v1/rollouts``."""

    def __init__(
        self, member: ControlMember, rollouts: Rollouts, operators: OperatorSettings
    ) -> None:
        self._member = member
        self._rollouts = rollouts
        self._operators = operators

    async def rollouts(self, request: web.Request) -> web.StreamResponse:
        """List the rollouts with their progress."""
        if operator_of(request, self._operators) is None:
            return unknown_operator()
        return json_answer(
            {
                "leads": self._member.is_leader,
                "rollouts": {
                    model: shown(rollout)
                    for model, rollout in self._rollouts.rollouts_by_model.items()
                },
            }
        )
