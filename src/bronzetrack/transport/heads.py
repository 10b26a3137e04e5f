"""Heads of requests and responses, and the check of a request's framing.

A head is the first line of a message and its headers.
"""

from __future__ import annotations

from urllib import parse

import attrs

Headers = list[tuple[bytes, bytes]]
REASON_PHRASES = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@attrs.define(eq=False)
class Head:
    """The head of a request as the caller sent it.

    :param target: as in the request line
    :param version: HTTP version without the prefix `HTTP/`
    :param keep_alive: whether the connection may stay open afterwards
    """

    method: bytes = b""
    target: bytes = b""
    version: str = "1.1"
    # Not in the repr, since headers may hold a secret key.
    headers: Headers = attrs.field(factory=list, repr=False)
    keep_alive: bool = True

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header.

        :param name: in lower case
        """
        return next(
            (value for key, value in self.headers if key.lower() == name), None
        )

    def split_target(self) -> tuple[str, str]:
        """Return the host without port, in lower case, and the path."""
        target = self.target.decode("latin-1")
        authority = (self.find(b"host") or b"").decode("latin-1")
        if not target.startswith("/"):
            parts = parse.urlsplit(target)
            authority = parts.netloc or authority
            target = parts.path or "/"
        host = authority.strip().lower()
        name, colon, port = host.rpartition(":")
        if colon and port.isdigit():
            host = name
        return host, target.partition("?")[0]


def find_framing_error(head: Head) -> str | None:
    """Return why a request's framing or host is ambiguous, or None."""
    lengths = [v for k, v in head.headers if k.lower() == b"content-length"]
    codings = [v for k, v in head.headers if k.lower() == b"transfer-encoding"]
    hosts = [v for k, v in head.headers if k.lower() == b"host"]
    if lengths and codings:
        return "both a length and a transfer coding"
    if len(lengths) > 1 or any(not item.isdigit() for item in lengths):
        return "more than one length, or not a number"
    if len(codings) > 1 or any(
        item.strip().lower() != b"chunked" for item in codings
    ):
        return "a transfer coding other than chunked"
    if len(hosts) != 1 and head.version == "1.1":
        return "not exactly one host"
    return None


@attrs.define(eq=False)
class ResponseHead:
    """The head of a response as it was received.

    :param framed: whether a length, chunks or the status determine where the
        body ends
    """

    status: int
    headers: Headers
    framed: bool

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header.

        :param name: in lower case
        """
        return next(
            (value for key, value in self.headers if key.lower() == name), None
        )


def encode_head(status: int, headers: Headers) -> bytes:
    """Encode a status line and headers, with the empty line at the end."""
    lines = [
        b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Status")),
        *(name + b": " + value for name, value in headers),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"
