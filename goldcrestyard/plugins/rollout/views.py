"""HTTP view of the rollouts for operators."""

from aiohttp import web

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.operators.authorisation import (
    operator_of,
    unknown_operator,
)
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.rollout.rollout import RolloutManager, rollout_status


class RolloutViews:
    """Serves ``/operator/v1/rollouts``."""

    def __init__(
        self,
        member: ControlMember,
        rollouts: RolloutManager,
        operators: OperatorSettings,
    ) -> None:
        self._member = member
        self._rollouts = rollouts
        self._operators = operators

    async def rollouts(self, request: web.Request) -> web.StreamResponse:
        """Return the progress of all rollouts; only the leader has any."""
        if operator_of(request, self._operators) is None:
            return unknown_operator()
        return json_answer(
            {
                "leads": self._member.is_leader,
                "rollouts": {
                    model: rollout_status(rollout)
                    for model, rollout in self._rollouts.rollouts_by_model.items()
                },
            }
        )
