"""Headers, paths, tables and values of the platform's wire protocol."""

REQUEST_ID = "Request-Id"
"""The caller's id of a request, which endpoints repeat in the response."""

TIME_LEFT = "Deadline-Ms"
"""Milliseconds until the deadline, not a point in time."""

SIGNATURE = "Response-Signature"
"""Marks a response as coming from an endpoint; without it, only a refusal is valid."""

NOT_RUN = "Not-Executed"

ERA = "Store-Era"
"""In all responses of the table service: a number that rises by one each time it is restored from an older
copy."""

LIMIT = "Server-Limit"
"""Rate limit of an overloaded endpoint, over all callers: requests per second as a decimal number."""

TOLERANCE = "Server-Brittle"
"""Rejections per second above which an endpoint falls over, as a decimal number."""

LEAVING = "Server-Leaving"
"""`1` in all responses of an endpoint that is leaving."""

INSTANCE = "Target-Instance"
"""The id of the endpoint that a request is for; any other rejects it."""

WORKSPACE = "Tenant"
AUTHORIZATION = "Authorization"
BEARER = "Bearer "
KEEP_ALIVE = "Keep-Alive"
"""Whole seconds after which an endpoint closes an idle connection."""

RETRY_AFTER = "Retry-After"
"""Seconds until a retry, from us to a refused caller or from an endpoint to us."""

DATE = "Date"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
"""From a caller that takes a stream up again: the id of its request that brought the first event."""

MODEL = "Model"
TOKENS = "Token-Usage"
"""Tokens of the prompt and maximum tokens of the response, separated by a comma."""

PARTS = "Prompt-Prefix"
"""The whole prompt, despite the name: its parts as ID:TOKENS, separated by commas."""

PRIORITY = "Priority"
EXPECT_VERSION = "Expect-Version"
VERSION = "Versions"
"""The version of the weights that a response was started on."""

SCOPE = "Cache-Salt"
FETCH = "Kv-Fetch"
FETCH_UNTIL = "Kv-Until"
SAVE = "Kv-Save"
WAIT = "Wait-Ms"

FORWARDED = "Stairquay-Forwarded"
"""Set by a box that passes a caller's request on: how many endpoints the other box may send it to."""

CONFIGURATION = "Stairquay-Configuration"
"""Set by such a box: the era of the table service and the version of the configuration that it goes by,
separated by a dot. A box of an earlier release sends none."""

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
        FORWARDED,
        CONFIGURATION,
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
    )
)
"""Request headers that only we may set; a caller's own are dropped."""

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
"""Hop-by-hop headers, and others that are not forwarded as received."""

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
"""Followed by the name of a data hall that gets no requests while the row exists."""

ENDPOINT_TABLE = "servers"
OWN_TABLE = "stairquay"
CRASH_TABLE = "stairquay-crashes"

KIND_REPEATABLE = "idempotent"
KIND_STREAM = "streaming"
STATE_DRAINING = "draining"
STATE_READY = "ready"

SETTINGS_VARIABLE = "STAIRQUAY_BOOT"


def connection_options(connection: str) -> frozenset[str]:
    """Return the names, in lower case, of the headers that a Connection header declares hop-by-hop."""
    return frozenset(item.strip().lower() for item in connection.split(","))
