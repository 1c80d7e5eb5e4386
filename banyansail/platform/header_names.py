"""HTTP header names of the platform's protocol."""

ATTEMPT_ID = b"x-attempt-id"
DEADLINE_MS = b"x-deadline-ms"
PROMPT_PREFIX = b"x-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
REPLICA_STAMP = b"x-replica-stamp"
WORKSPACE = b"x-tenant"  # the platform calls a workspace a tenant
EXPECT_UPSTREAM = b"x-expect-replica"  # the platform calls upstreams replicas
EXPECT_VERSION = b"x-expect-version"
NOT_EXECUTED = b"x-not-executed"
MODEL = b"x-model"
TOKEN_COUNT = b"x-token-count"  # "PROMPT_TOKENS,MAX_OUTPUT_TOKENS"
URGENCY = b"x-request-urgency"
LENGTH_HINT = b"x-length-hint"
API_KEY = b"api-key"
RETRY_AFTER = b"retry-after"
DUTY_HOLDER = b"x-duty-holder"
FENCING_TOKEN = b"x-fence-token"
UPSTREAM_ID = b"x-replica-id"
UPSTREAM_LEAVING = b"server-leaving"
UPSTREAM_BRITTLE = b"server-brittle"  # rejections a second that it bears
UPSTREAM_LIMIT = b"server-limit"  # requests a second from all routers together
UPSTREAM_COLD_MS = b"x-cold-ms"  # how long it stays cold
MEMORY_SOURCE = b"kv-from"  # "IP:PORT/HANDLE" of the memory that a run continues from
STORE_ERA = b"store-era"  # rises when the store is restored from a copy

# Attempts before a router relayed the request to another that may have run it. Our own.
POSSIBLE_RUNS = b"banyansail-possible-runs"

# Headers of callers that are not forwarded: the router reads them or sets its own.
RESERVED_HEADERS = frozenset(
    {
        WORKSPACE,
        EXPECT_UPSTREAM,
        EXPECT_VERSION,
        URGENCY,
        DEADLINE_MS,
        LAST_EVENT_ID,
        API_KEY,
        POSSIBLE_RUNS,
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        MEMORY_SOURCE,
        b"kv-fetch",
    }
)
