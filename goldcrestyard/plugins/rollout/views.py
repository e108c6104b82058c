"""Shows operators the rollouts, on the leader."""

from aiohttp import web

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.operators.settings import OperatorSettings
from goldcrestyard.plugins.orders.views import is_operator
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
        if not is_operator(request, self._operators):
            return refuse(Refusal(RefusalReason.INVALID_KEY, "unknown operator key"))
        return json_answer(
            {
                "leads": self._member.is_leader,
                "rollouts": {
                    model: shown(rollout)
                    for model, rollout in self._rollouts.rollouts_by_model.items()
                },
            }
        )
