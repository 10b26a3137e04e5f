"""A broken-off second answer turns a server's failure into a success.

A server answers a request with success, and begins to send that answer a
second time when the next response of the channel is expected. That response
says that the next request has failed.
"""

from __future__ import annotations

import asyncio
import pathlib

import attrs
import deployment
import plain

from standins import rawhttp

# Requests, of which so many are in progress at a time.
REQUESTS = 240
CONCURRENCY = 4
# One in so many requests fails at its server.
FAILED_ONE_IN = 20
# Answers that are spoiled, by one server of two, of the 120 that it gives.
MAX_SPOILED = 2


@attrs.define
class FailingServer(plain.PlainServer):
    """Server that answers some requests with 500.

    :param spoils: whether it spoils some answers
    :param last_ids: id of the last request of each channel with a success
    """

    spoils: bool = False
    spoiled: int = 0
    count: int = 0
    last_ids: dict[asyncio.StreamWriter, str] = attrs.field(factory=dict)

    async def answer(
        self, request: rawhttp.Received, writer: asyncio.StreamWriter
    ) -> None:
        self.count += 1
        last_id = self.last_ids.pop(writer, None)
        if self.count % FAILED_ONE_IN == 0:
            if last_id is not None and self.spoils:
                self._send_again(writer, last_id)
            writer.write(
                await self.run(request, "500 Internal Server Error", b"failed")
            )
            return
        self.last_ids[writer] = request.headers["x-request-id"]
        await super().answer(request, writer)

    def _send_again(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        """Begin the last answer of a channel once more, and break off."""
        if self.spoiled >= MAX_SPOILED:
            return
        self.spoiled += 1
        self.log(f"{self.identity} begins its answer to {request_id} again")
        whole = plain.encode(
            "200 OK",
            {
                "X-Request-Id": request_id,
                "X-Server-Signature": f"{self.identity}.{request_id}",
                "Content-Type": "text/plain",
            },
            b"done",
        )
        writer.write(whole[: whole.index(b"/plain")])


async def play(site: deployment.Deployment) -> list[str]:
    """Send requests and compare the answers with those of the servers."""
    runs: list[plain.Run] = []
    for identity in ("p1", "p2"):
        spoils = deployment.has_trouble() and identity == "p1"
        server = FailingServer(identity, runs, site.record.add, spoils)
        await site.add_endpoint(identity, "plain", server.handle)
    site.configure(plain.make_configuration(3))
    vm = site.add_vm("vm-1")
    await site.start_ready(vm)
    answers: dict[str, deployment.Answer] = {}
    left = iter(range(REQUESTS))

    async def send_some() -> None:
        for _ in left:
            request_id = deployment.make_id()
            site.record.add(f"sent {request_id}")
            answer = answers[request_id] = await deployment.send(
                vm.front,
                "POST",
                "/once/x",
                {"X-Request-Id": request_id, "X-Deadline-Ms": "3000"},
                b"launch",
            )
            ids = [v for key, v in answer.headers if key == "x-request-id"]
            site.record.add(
                f"answered {request_id}: {answer.status},"
                f" X-Request-Id {', '.join(ids)}, body {answer.body!r}"
            )

    await asyncio.gather(*(send_some() for _ in range(CONCURRENCY)))
    served = sum(answer.status == 200 for answer in answers.values())
    site.record.add(f"{served} of {REQUESTS} answered with success")
    if served < REQUESTS / 2:
        raise deployment.NotRunError("most requests were not served")
    statuses = {run.request_id: run.status for run in runs}
    return [
        *(
            f"MIXED: {request_id} got 200, its server had answered"
            f" {statuses.get(request_id)}"
            for request_id, answer in answers.items()
            if answer.status == 200
            and answer.whole
            and statuses.get(request_id) != 200
        ),
        *(
            f"MIXED: {request_id} got the answer with id"
            f" {answer.find('x-request-id')}"
            for request_id, answer in answers.items()
            if answer.status == 200
            and answer.find("x-request-id") != request_id
        ),
    ]


if __name__ == "__main__":
    deployment.run(pathlib.Path(__file__).parent, play)
