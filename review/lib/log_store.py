"""Stand-in for the platform's metadata store, one partition a topic."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from urllib import parse

import http_peer

PAGE_ITEMS = 500


class LogStore:
    """Topics of records in memory, served by the published calls."""

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = {}
        self._changed = asyncio.Event()
        self._server = http_peer.Server(self._handle)

    async def start(self) -> str:
        """Start serving and return the address."""
        return await self._server.start()

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Append a keyed record, as the operator or a server does."""
        name = key.encode()
        self._append(topic, [bytes([len(name)]) + name + (value or b"")])

    def put_json(self, topic: str, key: str, document: object) -> None:
        """Append a JSON document as a keyed record."""
        self.put(topic, key, json.dumps(document).encode())

    def _append(self, topic: str, records: list[bytes]) -> int:
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log.extend(records)
        self._changed.set()
        self._changed = asyncio.Event()
        return offset

    async def _handle(
        self, request: http_peer.Request, writer: asyncio.StreamWriter
    ) -> None:
        path, _, query = request.target.partition("?")
        fields = {
            name: values[0] for name, values in parse.parse_qs(query).items()
        }
        calls = {
            "/api/log-append": self._handle_append,
            "/api/log-read": self._handle_read,
            "/api/log-newest": self._handle_newest,
        }
        # The store answers after about 4 ms.
        await asyncio.sleep(0.004)
        if path not in calls:
            writer.write(http_peer.make_response(404))
            return
        writer.write(await calls[path](fields, request.body))

    async def _handle_append(
        self, fields: dict[str, str], body: bytes
    ) -> bytes:
        topic = fields["topic"]
        end = len(self.topics.get(topic, []))
        if "at" in fields and int(fields["at"]) != end:
            return _encode(412, {"end": end})
        records = []
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            position += 4
            records.append(body[position : position + size])
            position += size
        offset = self._append(topic, records)
        return _encode(200, {"offset": offset, "end": offset + len(records)})

    async def _handle_read(self, fields: dict[str, str], body: bytes) -> bytes:
        topic = fields["topic"]
        start = int(fields["from"])
        wait_s = int(fields.get("max_wait_ms", 0)) / 1000
        deadline = asyncio.get_running_loop().time() + wait_s
        while start >= len(self.topics.get(topic, [])):
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        log = self.topics.get(topic, [])
        records = b"".join(
            struct.pack(">I", len(item)) + item for item in log[start:]
        )
        data = struct.pack(">QQ", len(log), 0) + records
        return http_peer.make_response(200, data)

    async def _handle_newest(
        self, fields: dict[str, str], body: bytes
    ) -> bytes:
        log = self.topics.get(fields["topic"], [])
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(log):
            end = 1 + record[0]
            key = record[1:end].decode()
            newest.pop(key, None)
            if record[end:]:
                newest[key] = (record[end:], offset)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in sorted(newest.items())
            if key > fields.get("after", "")
        ]
        page = {
            "items": items[:PAGE_ITEMS],
            "has_more": len(items) > PAGE_ITEMS,
            "end": len(log),
        }
        return _encode(200, page)


def _encode(status: int, document: object) -> bytes:
    return http_peer.make_response(
        status,
        json.dumps(document).encode(),
        {"Content-Type": "application/json"},
    )
