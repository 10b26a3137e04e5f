"""Resolution of the model names and service paths of requests."""

from __future__ import annotations

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import state
from bronzetrack.core import failures


@attrs.frozen
class ResolvedModel:
    """An adapter version and the endpoints that can run it.

    :param adapter: adapter version as `name@version`
    :param member: the member that owns the adapter
    :param endpoints: names of the engines with the base model of the adapter
    """

    adapter: str
    member: str
    endpoints: tuple[str, ...]


@attrs.frozen
class ResolvedService:
    """A plain service and the request path to use at its endpoints.

    :param path: path without the prefix of the service
    """

    service: inventories.Service
    path: str


def resolve_model(
    configuration: state.Configuration, model: str
) -> ResolvedModel | failures.Failure:
    """Return the adapter version that a model name refers to.

    :param model: `adapter@version`, or `adapter` for its current version
    """
    if configuration.offset == state.NO_OFFSET:
        return failures.Failure(
            failures.Reason.NO_CONFIGURATION,
            "no configuration is in force",
            retry_after_ms=1_000,
        )
    adapter_name, separator, version = model.partition("@")
    adapter = configuration.inventory.adapters.get(adapter_name)
    if adapter is None:
        return failures.Failure(
            failures.Reason.UNKNOWN_ADAPTER,
            f"unknown adapter {adapter_name!r}",
        )
    if not separator:
        version = adapter.current
    if version not in adapter.versions:
        return failures.Failure(
            failures.Reason.UNKNOWN_VERSION,
            f"adapter {adapter_name!r} has no version {version!r}",
        )
    endpoints = tuple(
        name
        for name, endpoint in configuration.inventory.endpoints.items()
        if endpoint.runs_model(adapter.base_model)
    )
    return ResolvedModel(f"{adapter_name}@{version}", adapter.owner, endpoints)


def resolve_service(
    configuration: state.Configuration, path: str
) -> ResolvedService | failures.Failure:
    """Return the service whose prefix is the longest match for a path."""
    matching = [
        service
        for service in configuration.inventory.services.values()
        if path == service.prefix or path.startswith(service.prefix + "/")
    ]
    if not matching:
        return failures.Failure(
            failures.Reason.UNKNOWN_SERVICE, f"no service at {path}"
        )
    service = max(matching, key=lambda item: len(item.prefix))
    return ResolvedService(service, path.removeprefix(service.prefix) or "/")
