"""Heads of requests and answers, and what makes a request unacceptable."""

from __future__ import annotations

from urllib import parse

import attrs

Headers = list[tuple[bytes, bytes]]
REASONS = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
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
    """The head of a request as it was sent."""

    method: bytes = b""
    target: bytes = b""
    version: str = "1.1"
    headers: Headers = attrs.field(factory=list)
    keep_alive: bool = True

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header.

        :param name: in lower case
        """
        return next(
            (value for key, value in self.headers if key.lower() == name), None
        )

    def split_target(self) -> tuple[str, str]:
        """Return host without port, in lower case, and path."""
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


def find_fault(head: Head) -> str | None:
    """Return why a request could be read in two ways, if it could."""
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
class AnswerHead:
    """The head of an answer as it came.

    :param framed: a length or chunks tell where the body ends
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
    """Return status line and headers, with the empty line."""
    lines = [
        b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Status")),
        *(name + b": " + value for name, value in headers),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"
