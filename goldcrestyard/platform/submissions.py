"""Decoding of submitted jobs and encoding of their results."""

import base64

import msgspec

from goldcrestyard.core.decoding import (
    MAX_ID_LENGTH,
    Malformed,
    WholeNumber,
    decode_json,
    is_header,
    is_id,
    is_path,
    parse_count,
)
from goldcrestyard.core.ids import (
    GroupId,
    ItemId,
    JobId,
    KeyHash,
    ModelName,
    OrganisationId,
    RequestId,
    StepNumber,
    WeightVersion,
)
from goldcrestyard.core.jobs import Job, JobItem, RewardCall
from goldcrestyard.core.keys import hash_secret
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.fleet.jobs.commands import ResultsPage
from goldcrestyard.platform.hop_headers import end_to_end
from goldcrestyard.platform.names import (
    LENGTH_HINT_HEADER,
    MODEL_HEADER,
    TOKEN_COUNT_HEADER,
)

MAX_LENGTH_HINT = 10**9
"""Number of tokens from which a hint is no number of tokens of an item."""


class _Scorer(msgspec.Struct):
    id: str
    host: str
    path: str
    body: str = ""


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    group: str = ""
    scorer: _Scorer | None = None


class _Lot(msgspec.Struct):
    requests: list[_Item]
    """The job's items."""
    model: str = ""
    step: WholeNumber = 0
    least_required: WholeNumber = 0
    """The oldest weight version that may generate tokens of the job."""
    group_count: WholeNumber = 0
    """Number of complete groups of items for which the trainer waits."""


def decode(
    job_id: str,
    organisation: OrganisationId | None,
    host: str,
    path: str,
    body: bytes,
    key: str | None = None,
) -> Job | Refusal:
    """Return the job, or a refusal if the submission is invalid."""
    lot = decode_json(body, _Lot)
    if isinstance(lot, Malformed):
        return Refusal(RefusalReason.BAD_REQUEST, f"unreadable job: {lot.detail}")
    try:
        items = tuple(_item(item, lot.model) for item in lot.requests)
    except ValueError as error:
        # The errors of base64 are kinds of ValueError.
        return Refusal(RefusalReason.BAD_REQUEST, f"unreadable job: {error}")
    if not is_header("host", host):
        return Refusal(RefusalReason.BAD_REQUEST, "the host is not valid")
    if not is_id(job_id) or len({item.id for item in items}) < len(items):
        return Refusal(
            RefusalReason.BAD_REQUEST, "no valid job id, or an item id used twice"
        )
    if not all(map(_can_be_sent, items)):
        return Refusal(
            RefusalReason.BAD_REQUEST, "an item whose request cannot be sent"
        )
    return Job(
        JobId(job_id),
        organisation,
        host,
        path,
        ModelName(lot.model),
        StepNumber(lot.step),
        WeightVersion(lot.least_required),
        lot.group_count,
        items,
        KeyHash("") if key is None else hash_secret(key),
    )


def encode(page: ResultsPage) -> bytes:
    """Return a page of results in the JSON format of trainers."""
    return msgspec.json.encode(
        {
            "total": page.size,
            "next": page.next_position,
            "results": [
                {
                    "id": result.item,
                    "state": result.outcome.value,
                    "text": result.text.decode("utf-8", "replace"),
                    "versions": result.versions,
                    "score": result.score,
                }
                for result in page.results
            ],
        }
    )


def _item(item: _Item, model: str) -> JobItem:
    reward = None
    if item.scorer is not None:
        reward = RewardCall(
            RequestId(item.scorer.id),
            item.scorer.host,
            item.scorer.path,
            base64.b64decode(item.scorer.body, validate=True),
        )
    named = {name.lower(): value for name, value in item.headers.items()}
    return JobItem(
        ItemId(item.id),
        item.path,
        end_to_end(item.headers.items()),
        base64.b64decode(item.body, validate=True),
        ModelName(named.get(MODEL_HEADER.lower(), model)),
        GroupId(item.group),
        reward,
        _number(named.get(LENGTH_HINT_HEADER.lower(), "")),
        prompt_tokens=_number(
            named.get(TOKEN_COUNT_HEADER.lower(), "").partition(",")[0]
        ),
    )


def _can_be_sent(item: JobItem) -> bool:
    """Return whether the requests of an item can be sent to any target."""
    if not (is_id(item.id) and is_path(item.path)):
        return False
    # These outlive the item, in what is learned of the engines.
    if max(len(item.group), len(item.model)) > MAX_ID_LENGTH:
        return False
    if not all(is_header(name, value) for name, value in item.headers):
        return False
    reward = item.reward
    return reward is None or (
        is_id(reward.request)
        and is_header("host", reward.host)
        and is_path(reward.path)
    )


def _number(text: str) -> int:
    """Return a number of tokens, or 0 if the text is not one."""
    number = parse_count(text)
    return number if number is not None and number < MAX_LENGTH_HINT else 0
