"""Wire names: headers, paths, topics and keys.

Headers that are compared are in lower case, those that are sent are not.
"""

from __future__ import annotations

REQUEST_ID = b"x-request-id"
REQUEST_ID_HEADER = b"X-Request-Id"
DEADLINE = b"X-Deadline-Ms"
EXPECT_INSTANCE = b"X-Expect-Instance"
EXPECT_VERSION = b"X-Expect-Version"
PRIORITY = b"X-Request-Priority"
LAST_EVENT_ID = b"Last-Event-Id"
NOT_EXECUTED = b"x-not-executed"
NOT_EXECUTED_VALUE = b"1"
SIGNATURE = b"x-server-signature"
MODEL = b"x-model"
TOKEN_USAGE = b"x-token-usage"
PROMPT_PREFIX = b"x-prompt-prefix"
LENGTH_HINT = b"x-length-hint"
INSTANCE = b"x-instance-id"
KEY = b"x-key"
WORKSPACE = b"x-tenant"
WORKSPACE_HEADER = b"X-Tenant"
# Header in all answers of an endpoint that leaves.
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
# Header in all answers of the store.
STORE_ERA = b"store-era"

# Request headers that only the system may set; a caller's are dropped.
RESERVED = frozenset(
    {
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-fetch",
        b"kv-from",
    }
)
# Request headers that are not forwarded where the configuration has
# workspaces: there the key is secret, and only the system names a workspace.
IDENTITY = frozenset({KEY, WORKSPACE})
# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"host",
    }
)
# Headers that are forwarded even if a Connection header lists them.
ALWAYS_FORWARDED = frozenset(
    {
        REQUEST_ID,
        MODEL,
        TOKEN_USAGE,
        PROMPT_PREFIX,
        LENGTH_HINT,
        b"last-event-id",
        SIGNATURE,
        b"content-type",
    }
)

READY_PATH = "/api/ready"
RESOLVE_PATH = "/api/resolve"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
APPEND_PATH = "/api/log-append"
READ_PATH = "/api/log-read"
NEWEST_PATH = "/api/log-newest"

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
LEASE_TOPIC = "leases"
# Requests that are refused because they crash endpoints, by key.
SUSPECTS_TOPIC = "keyed.suspects"
# Record of the lease topic that releases the lease: no VM holds the lease
# after it. No VM has this name.
LEASE_RELEASED = b"\0released"
ERA_SUFFIX = b"\0%d"


def encode_lease_record(text: bytes, era: int) -> bytes:
    """Return a record of the lease log, which names the era it is written in.

    :param text: name of a VM, or `LEASE_RELEASED`
    """
    return text + ERA_SUFFIX % era if era else text


def is_of_era(record: bytes, era: int) -> bool:
    """Return whether a record of the lease log was written in an era."""
    return not era or record.endswith(ERA_SUFFIX % era)


CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
