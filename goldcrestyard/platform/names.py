"""Headers, paths and other names of the platform's interfaces."""

SETTINGS_VARIABLE = "GOLDCRESTYARD_SETTINGS"

_HEADER_PREFIX = "X-Goldcrestyard-"

REQUEST_ID_HEADER = _HEADER_PREFIX + "Attempt-Id"
"""Header with the id of an attempt, which the caller chooses; each of its
attempts has a different one."""
DEADLINE_HEADER = _HEADER_PREFIX + "Deadline-Ms"
TARGET_ID_HEADER = _HEADER_PREFIX + "Expect-Instance"
"""Header with the id of the intended target; other targets reject the request.
"""
ORGANISATION_HEADER = _HEADER_PREFIX + "Tenant"
SIGNATURE_HEADER = _HEADER_PREFIX + "Server-Stamp"
NOT_RUN_HEADER = _HEADER_PREFIX + "Not-Run"
WAIT_HEADER = _HEADER_PREFIX + "Wait-Ms"
MODEL_HEADER = _HEADER_PREFIX + "Model"
LENGTH_HINT_HEADER = _HEADER_PREFIX + "Length-Hint"
TOKEN_COUNT_HEADER = _HEADER_PREFIX + "Token-Count"
"""Header with the tokens of the prompt and the most tokens of the answer."""
URGENCY_HEADER = _HEADER_PREFIX + "Sched-Priority"
"""Header with the urgency of a request, from 0, the highest, to 9."""
VERSION_HEADER = _HEADER_PREFIX + "Weight-Versions"
"""Header with a single weight version, in spite of the plural.  An event of a
stream may start with a line of the same name."""
DUTY_HOLDER_HEADER = _HEADER_PREFIX + "Duty-Holder"
FENCE_HEADER = _HEADER_PREFIX + "Fence-Token"
LAST_EVENT_HEADER = "Last-Event-Id"
RESUMES_HEADER = "Resumes"
"""Header with the id of the caller's attempt that brought the first event of
the stream that the caller takes up."""
REQUEST_LIMIT_HEADER = "Server-Limit"
"""Header with the requests per second that a target in need accepts from all
machines together."""
LEAVING_HEADER = "Server-Leaving"
"""Header with ``1`` in all answers of a target that leaves."""
ANSWERING_TARGET_HEADER = _HEADER_PREFIX + "Instance-Id"
"""Header with the id of the answering target, in some answers."""

DIRECTORY_PATH = "/v1/resolve"
READY_PATH = "/v1/readyz"
CONFIG_PATH = "/v1/config"
HEARTBEAT_PATH = "/v1/instances/"
TOKEN_PARAMETER = "confirmation"
"""Query parameter with the token that the sender of a heartbeat repeats."""
RETIRE_PATH = "/v1/retire/"
EVACUATE_PATH = "/v1/evacuate/"
VERSION_PATH = "/v1/version-put"
RESULTS_PATH = "/v1/lots/"
ITEM_PATH = "/v1/items/"
REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"
USAGE_PATH = "/usage"
RENTAL_PATH = "/scale"

METRICS_PORT = 9464
METRICS_PATH = "/metrics"
"""Path and port as in deploy/system.toml."""
