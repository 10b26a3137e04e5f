"""Tests of entry VMs that resume streams at another endpoint."""

from __future__ import annotations

import asyncio
import itertools

import attrs
from entry import sites
import pytest

from standins import rawhttp

pytestmark = pytest.mark.anyio
EVENTS = [b"id: %d\ndata: piece%d\n\n" % (n, n) for n in range(4)]
WITHOUT_ID = b"data: piece without an id\n\n"
LAST_EVENT_ID = "last-event-id"


@attrs.define
class Script:
    """Endpoints that share one list of streams, one for each run.

    :param streams: events that each run sends; a run whose stream is not the
        last breaks off within its next event
    :param ends_body: whether it ends its body then as if it were complete
    :param is_last_whole: whether the last run does not break off
    :param received: value of Last-Event-Id of each run, None without one
    """

    streams: list[list[bytes]]
    ends_body: bool = False
    is_last_whole: bool = True
    received: list[str | None] = attrs.field(factory=list)

    async def handle(
        self, request: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request; reports are refused."""
        if request.target.startswith("/api/"):
            writer.write(rawhttp.make_answer(404))
            return
        self.received.append(request.headers.get(LAST_EVENT_ID))
        events = self.streams[len(self.received) - 1]
        head = [
            "HTTP/1.1 200 OK",
            "Transfer-Encoding: chunked",
            f"X-Request-Id: {request.headers['x-request-id']}",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for event in events:
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        is_last = len(self.received) == len(self.streams)
        if is_last and self.is_last_whole:
            writer.write(b"0\r\n\r\n")
            return
        writer.write(b"3\r\nid:\r\n")
        await writer.drain()
        if self.ends_body:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()


@pytest.fixture
async def run_script(configured_site):
    """Function that sends a request to endpoints with a script.

    It returns the answer and the values of Last-Event-Id that arrived.
    """

    async def run(
        streams: list[list[bytes]],
        headers: dict[str, str] | None = None,
        path: str = "/resumable/x",
        **fields: bool,
    ) -> tuple[sites.Answer, list[str | None]]:
        site = configured_site
        script = Script(streams, **fields)
        for identity in ("e1", "e2", "e3"):
            await site.add_endpoint(identity, "engines", script.handle)
        vm = await site.start_vm("vm-1")
        await vm.await_ready()
        answer = await sites.send(vm.front, path, "r1", headers=headers)
        return answer, script.received

    return run


async def test_stream_lost_within_its_first_event_begins_anew(run_script):
    """Guards against a resumed stream that lacks its first event.

    Ids count from 0, so that a resumption after 0 leaves the first event out.
    """
    answer, received = await run_script([[], EVENTS])
    assert (answer.whole, answer.body) == (True, b"".join(EVENTS))
    assert received == [None, None]


async def test_stream_goes_on_after_an_event_with_the_id_0(run_script):
    """Guards against a first event that the caller gets twice."""
    answer, received = await run_script([EVENTS[:1], EVENTS[1:]])
    assert (answer.whole, answer.body) == (True, b"".join(EVENTS))
    assert received == [None, "0"]


@pytest.mark.parametrize(
    "begun",
    [
        [WITHOUT_ID],
        [*EVENTS[:2], WITHOUT_ID],
        [EVENTS[0], b"id: last\ndata: piece1\n\n"],
        [EVENTS[0], b"id\ndata: piece1\n\n"],
        [EVENTS[0] + WITHOUT_ID],
        [EVENTS[0], b": comment\n\n" + WITHOUT_ID + b": comment\n\n"],
    ],
    ids=["first", "later", "no number", "empty", "one part", "comments"],
)
async def test_stream_is_cut_after_an_event_without_an_id(run_script, begun):
    """Guards against events that a resumed stream repeats.

    No endpoint can be told after which event to go on.
    """
    answer, received = await run_script([begun, EVENTS])
    assert not answer.whole
    assert answer.body == b"".join(begun)
    assert received == [None]


@pytest.mark.parametrize(
    ("begun", "last_id"),
    [
        ([WITHOUT_ID, EVENTS[0]], "0"),
        ([WITHOUT_ID + EVENTS[0]], "0"),
        ([EVENTS[0], b": comment\n\n"], "0"),
        ([b": comment\n\n"], None),
        ([b"x-weight-versions: 2\nid: 0\ndata: piece0\n\n"], "0"),
    ],
)
async def test_stream_goes_on_after_the_last_event_if_it_has_an_id(
    run_script, begun, last_id
):
    """Guards against streams that are cut although they could go on."""
    rest = EVENTS if last_id is None else EVENTS[1:]
    answer, received = await run_script([begun, rest])
    assert answer.whole
    assert answer.body == b"".join([*begun, *rest])
    assert received == [None, last_id]


@pytest.mark.parametrize("last_id", ["-5", "1_0", "last"])
async def test_id_of_the_caller_that_is_no_number_is_passed_on_as_it_is(
    run_script, last_id
):
    """Guards against a stream that is resumed after another id.

    The caller resumes it, and its next endpoint breaks off at once.
    """
    headers = {"Last-Event-Id": last_id}
    answer, received = await run_script([[], EVENTS], headers)
    assert answer.whole
    assert received == [last_id, last_id]


@pytest.mark.parametrize(
    ("path", "streams", "is_last_whole", "received"),
    [
        ("/resumable/x", [EVENTS[:2], EVENTS[2:]], True, [None, "1"]),
        ("/resumable/x", [[], EVENTS], True, [None, None]),
        ("/resumable/x", [EVENTS[:2], EVENTS[2:3]], False, [None, "1"]),
        ("/resumable/x", [EVENTS, []], False, [None, "3"]),
        ("/stream/x", [EVENTS[:2]], False, [None]),
        ("/stream/x", [[]], False, [None]),
    ],
)
async def test_body_that_ends_within_an_event_is_resumed_or_cut(
    run_script, path, streams, is_last_whole, received
):
    """Guards against a cut stream that its caller takes for complete.

    The endpoint ends its chunks in an orderly way.
    """
    answer, arrived = await run_script(
        streams, path=path, ends_body=True, is_last_whole=is_last_whole
    )
    assert answer.whole is is_last_whole
    assert arrived == received
    if path == "/resumable/x":
        assert answer.body == b"".join(itertools.chain(*streams))
