"""Names of headers and calls on the wire, in lower case where compared."""

from __future__ import annotations

REQUEST_ID = b"x-request-id"
REQUEST_ID_HEADER = b"X-Request-Id"
DEADLINE = b"X-Deadline-Ms"
EXPECT_INSTANCE = b"X-Expect-Instance"
EXPECT_VERSION = b"X-Expect-Version"
PRIORITY = b"X-Request-Priority"
LAST_EVENT_ID = b"Last-Event-Id"
NOT_EXECUTED = b"x-not-executed"
SIGNATURE = b"x-server-signature"
MODEL = b"x-model"
TOKENS = b"x-token-usage"
INSTANCE = b"x-instance-id"

# The system alone may set these towards an endpoint.
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
# These concern one connection only.
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
# Never dropped, even if a Connection header lists them.
ESSENTIAL = frozenset(
    {
        REQUEST_ID,
        MODEL,
        TOKENS,
        b"x-prompt-prefix",
        b"x-length-hint",
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
# Record of the lease topic after which nobody holds the lease. No VM has this
# name.
LEASE_RELEASED = b"\0released"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
