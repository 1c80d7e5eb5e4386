"""Header names of the platform's contract."""

ATTEMPT_ID = b"x-attempt-id"
DEADLINE_MS = b"x-deadline-ms"
PROMPT_PREFIX = b"x-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
STAMP = b"x-replica-stamp"
WORKSPACE = b"x-tenant"  # the platform's word is tenant
EXPECT_UPSTREAM = b"x-expect-replica"
EXPECT_VERSION = b"x-expect-version"
NOT_EXECUTED = b"x-not-executed"
MODEL = b"x-model"
TOKEN_COUNT = b"x-token-count"  # prompt tokens, most output tokens
URGENCY = b"x-request-urgency"
LENGTH_HINT = b"x-length-hint"
KEY = b"api-key"
RETRY_AFTER = b"retry-after"
DUTY_HOLDER = b"x-duty-holder"
FENCE = b"x-fence-token"
UPSTREAM_ID = b"x-replica-id"

# Set by the router alone; a caller's own are dropped.
ROUTER_HEADERS = frozenset(
    {
        WORKSPACE,
        EXPECT_UPSTREAM,
        EXPECT_VERSION,
        URGENCY,
        DEADLINE_MS,
        LAST_EVENT_ID,
        KEY,
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
