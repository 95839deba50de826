"""Names on the platform's wire: headers, paths and words."""

REQUEST_ID = "Request-Id"
"""The caller's id of one request; endpoints echo it in their answers."""

TIME_LEFT = "Deadline-Ms"
"""Milliseconds that are left, not a point in time."""

SIGNATURE = "Response-Signature"
"""Marks an answer as an endpoint's own; a success without it does not count."""

NOT_RUN = "Not-Executed"
LIMIT = "Server-Limit"
"""Requests a second, a decimal number, that an endpoint short of room takes from all callers together."""

LEAVING = "Server-Leaving"
"""`1` in all answers of an endpoint that leaves."""

INSTANCE = "Target-Instance"
"""The id of the endpoint that a request is meant for; any other refuses it."""

WORKSPACE = "Tenant"
AUTHORIZATION = "Authorization"
BEARER = "Bearer "
KEEP_ALIVE = "Keep-Alive"
"""Whole seconds after which an endpoint closes an idle connection."""

RETRY_AFTER = "Retry-After"
"""Seconds after which to come back: to a caller that we refuse, and to us where an endpoint refuses."""

DATE = "Date"
LAST_EVENT_ID = "Last-Event-Id"
MODEL = "Model"
TOKENS = "Token-Usage"
"""Tokens of the prompt and most tokens of the answer, with a comma between."""

PARTS = "Prompt-Prefix"
"""The whole prompt as ID:TOKENS with commas between, in spite of its name."""

PRIORITY = "Priority"
EXPECT_VERSION = "Expect-Version"
VERSION = "Versions"
"""The one version of the weights that an answer was begun on."""

SCOPE = "Cache-Salt"
FETCH = "Kv-Fetch"
FETCH_UNTIL = "Kv-Until"
SAVE = "Kv-Save"
WAIT = "Wait-Ms"

RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        TIME_LEFT,
        INSTANCE,
        WORKSPACE,
        AUTHORIZATION,
        PRIORITY,
        EXPECT_VERSION,
        SCOPE,
        FETCH,
        FETCH_UNTIL,
        SAVE,
        LAST_EVENT_ID,
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
    )
)
"""Request headers that only we may set: whatever a caller puts there goes no further."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)
"""Headers that concern one connection only, and those that the HTTP library writes itself."""

READY_PATH = "/-/readyz"
REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"
CACHE_EVENTS_PATH = "/-/kv-events"
CACHE_LIST_PATH = "/-/kv-list"
CACHE_FREE_PATH = "/-/kv-free"
ROWS_PATH = "/-/rows-get"
FEED_PATH = "/-/rows-feed"
COMMIT_PATH = "/-/rows-tx"

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
VERSION_PREFIX = "version/"
EVACUATION_PREFIX = "evacuate/"
"""Before the name of a data hall whose endpoints are to get nothing, as long as the row stands."""

ENDPOINT_TABLE = "servers"
OWN_TABLE = "stairquay"
CRASH_TABLE = "stairquay-crashes"

KIND_REPEATABLE = "idempotent"
KIND_STREAM = "streaming"
STATE_DRAINING = "draining"
STATE_READY = "ready"

SETTINGS_VARIABLE = "STAIRQUAY_BOOT"
