"""The HTTP listener for callers."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import TYPE_CHECKING

import anyio
import attrs
from starlette import applications
from starlette import exceptions
from starlette import middleware
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from bronzetrack.configuration import resolver
from bronzetrack.core import clock
from bronzetrack.core import failures
from bronzetrack.http import answers
from bronzetrack.http import faults
from bronzetrack.http import holds
from bronzetrack.http import intake
from bronzetrack.http import requestids
from bronzetrack.http import targets
from bronzetrack.membership import messages
from bronzetrack.membership import view as views
from bronzetrack.metrics import counters
from bronzetrack.routing import entries
from bronzetrack.streaming import calls
from bronzetrack.streaming import outcomes
from bronzetrack.streaming import output as outputs
from bronzetrack.streaming import requests

if TYPE_CHECKING:
    from bronzetrack import board as boards

LOG = logging.getLogger(__name__)
# A model name may be as long as a body; this bounds the record of a refusal.
MAX_RECORDED_CHARACTERS = 200
SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


@attrs.define
class CallersApplication:
    """Handlers of the callers' listener."""

    board: boards.Blackboard
    read_clock: Callable[[], clock.Instant]

    def build(self) -> requestids.RequestIdMiddleware:
        """Return the ASGI application."""
        limits = self.board.settings.limits
        totals = holds.UsageTotals(
            limits.open_requests, limits.open_body_bytes
        )
        application = applications.Starlette(
            routes=self.list_routes(),
            middleware=[
                middleware.Middleware(holds.AdmissionMiddleware, totals)
            ],
            exception_handlers={
                exceptions.HTTPException: faults.answer_http_error,
                Exception: faults.answer_internal_error,
            },
        )
        # Not every client repeats the body after a redirect.
        application.router.redirect_slashes = False
        return requestids.RequestIdMiddleware(application)

    def list_routes(self) -> list[routing.Route]:
        """Return the routes with their handlers."""
        return [
            routing.Route("/v1/entry", self.get_entry),
            routing.Route("/v1/models", self.list_models),
            routing.Route("/v1/completions", self.complete, methods=["POST"]),
            routing.Route(
                "/v1/chat/completions", self.complete, methods=["POST"]
            ),
            routing.Route(
                "/services/{path:path}",
                self.call_service,
                methods=SERVICE_METHODS,
            ),
        ]

    async def get_entry(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Return the VMs that a caller should use for a model, best first."""
        model = self._resolve(request.query_params.get("model", ""))
        now_ms = self.read_clock().monotonic_ms
        view = self.board.membership.value
        serving = views.list_serving(view, now_ms)
        addresses = {vm.vm: vm.caller_address for vm in serving}
        warm = {
            vm.vm
            for vm in serving
            if any(model in item.warm for item in vm.endpoints.values())
        }
        if self.board.lifecycle.value.status is messages.VmStatus.SERVING:
            addresses[self.board.vm] = self.board.settings.listen.callers
            if self._is_warm_locally(model):
                warm.add(self.board.vm)
        ranked = entries.rank_entries(addresses, warm, model)
        return responses.JSONResponse(
            {
                "ttl_s": self.board.settings.limits.entry_ttl_s,
                "entries": [
                    {
                        "vm": entry.vm,
                        "address": entry.address,
                        "reason": entry.reason.value,
                    }
                    for entry in ranked
                ],
            }
        )

    def _resolve(self, model: str) -> str:
        """Return the adapter version of a model, or the name if unknown."""
        resolved = resolver.resolve_model(
            self.board.configuration.value.configuration, model
        )
        if isinstance(resolved, failures.Failure):
            return model
        return resolved.adapter

    def _is_warm_locally(self, model: str) -> bool:
        """Return whether a model is resident on an endpoint of this VM."""
        return any(
            model in queue.residents
            for queue in self.board.dispatch.value.endpoints.values()
        )

    async def list_models(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Return the adapters in the format of the OpenAI models list."""
        inventory = self.board.configuration.value.configuration.inventory
        return responses.JSONResponse(
            {
                "object": "list",
                "data": [
                    {"id": name, "object": "model", "owned_by": adapter.owner}
                    for name, adapter in inventory.adapters.items()
                ],
            }
        )

    async def complete(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Handle a completions or chat completions call."""
        body = await self._read_body(request)
        if isinstance(body, failures.Failure):
            return self._refuse(request, body)
        checked = intake.read_completion(
            requestids.get_request_id(request),
            self.board.configuration.value.configuration,
            request.scope["path"],
            request.headers,
            body,
            self.board.settings.limits.request_timeout_ms,
            self.read_clock(),
        )
        return await self._serve(request, checked)

    async def call_service(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Handle a call to a plain service."""
        body = await self._read_body(request)
        if isinstance(body, failures.Failure):
            return self._refuse(request, body)
        checked = intake.read_service_call(
            requestids.get_request_id(request),
            self.board.configuration.value.configuration,
            request.method,
            targets.read_target(request),
            request.scope["query_string"].decode("latin-1"),
            request.headers,
            body,
            self.board.settings.limits.request_timeout_ms,
            self.read_clock(),
        )
        return await self._serve(request, checked)

    async def _serve(
        self,
        request: http_requests.Request,
        checked: calls.CallerRequest | failures.Failure,
    ) -> responses.Response:
        """Post a checked request to the requests controller and respond."""
        if isinstance(checked, failures.Failure):
            return self._refuse(request, checked)
        if self.board.lifecycle.value.refuses_calls:
            failure = failures.Failure(
                failures.Reason.DRAINING,
                "this VM stops; use another",
                retry_after_ms=1_000,
            )
            return self._refuse(request, failure, checked)
        failure_to_send = targets.check_sendable(checked)
        if failure_to_send is not None:
            return self._refuse(request, failure_to_send, checked)
        output = outputs.Output(checked.request)
        intake_box = self.board.mailboxes["intake"]
        if not intake_box.post(requests.SubmittedRequest(checked, output)):
            failure = failures.Failure(
                failures.Reason.QUEUE_FULL,
                "too many requests wait at this VM",
                retry_after_ms=1_000,
            )
            return self._refuse(request, failure, checked)

        def cancel() -> None:
            intake_box.post(requests.CallerDisconnected(checked.request))

        return await answers.make_response(
            checked, output, cancel, request.receive
        )

    def _refuse(
        self,
        request: http_requests.Request,
        failure: failures.Failure,
        checked: calls.CallerRequest | None = None,
    ) -> responses.Response:
        """Record a request refused on arrival and return the response."""
        counters.count_request(outcomes.Outcome.REFUSED, failure)
        detail = failure.detail[:MAX_RECORDED_CHARACTERS]
        refusal = requests.Refusal(
            request=requestids.get_request_id(request),
            wall_ms=self.read_clock().wall_ms,
            path=request.scope["path"][:MAX_RECORDED_CHARACTERS],
            adapter="" if checked is None else checked.adapter,
            failure=attrs.evolve(failure, detail=detail),
        )
        self.board.mailboxes["intake"].post(refusal)
        LOG.info(
            "request refused on arrival",
            extra={
                "event": "request_refused",
                "request_id": refusal.request,
                "reason": failure.reason.value,
                "detail": detail,
            },
        )
        return answers.make_error_response(failure, request=checked)

    async def _read_body(
        self, request: http_requests.Request
    ) -> bytes | failures.Failure:
        """Return the body, or a failure if it cannot be read in full."""
        reservation: holds.Reservation = request.scope[holds.SCOPE_KEY]
        limit = self.board.settings.limits.body_bytes
        timeout_ms = self.board.settings.limits.body_timeout_ms
        body = bytearray()
        failure = reservation.admit()
        try:
            with anyio.fail_after(timeout_ms / 1000):
                async for part in request.stream():
                    body += part
                    failure = failure or reservation.grow(len(part))
                    if len(body) > limit:
                        failure = failures.Failure(
                            failures.Reason.BODY_TOO_LARGE,
                            f"{limit} bytes allowed",
                        )
                    if failure is not None:
                        return failure
        except http_requests.ClientDisconnect:
            return failures.Failure(
                failures.Reason.CANCELLED, "disconnected within the body"
            )
        except TimeoutError:
            return failures.Failure(
                failures.Reason.BODY_TIMEOUT,
                f"{len(body)} bytes of the body in {timeout_ms} ms",
                limit="limits.body_timeout_ms",
            )
        return failure or bytes(body)
