"""Assembly and run of an entry VM from its controllers and ports."""

from __future__ import annotations

import functools
import importlib
import logging
import pathlib
import pkgutil
import sys
import time
from typing import Any
import uuid

import anyio

from bronzetrack.core import errors
from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import processes as process_events
from bronzetrack.daemon import exits
from bronzetrack.daemon import logs
from bronzetrack.entry import board as boards
from bronzetrack.entry import clientmeters
from bronzetrack.entry import controllers as controller_package
from bronzetrack.entry import loglines
from bronzetrack.entry import meters
from bronzetrack.entry import roles
from bronzetrack.entry import settings as entry_settings
from bronzetrack.entry.admission.shares import meters as share_meters
from bronzetrack.entry.eras import recording
from bronzetrack.entry.quotas import meters as quota_meters
from bronzetrack.platform import orders
from bronzetrack.platform import store
from bronzetrack.transport import calls

LOG = logging.getLogger(__name__)


class ControllerEndedError(errors.BronzetrackError):
    """A controller returned, although the process depends on it."""


def read_clock() -> float:
    """Return seconds of a clock that also runs while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def import_controllers() -> None:
    """Import every controller module to register its controller."""
    for module in pkgutil.iter_modules(controller_package.__path__):
        importlib.import_module(f"{controller_package.__name__}.{module.name}")


def run(file: pathlib.Path) -> exits.ExitCode:
    """Run an entry VM until it has stopped, and return its exit code.

    :param file: settings file
    """
    try:
        settings = entry_settings.load_settings(file)
    except entry_settings.SettingsError as error:
        print(f"{file}: {error}", file=sys.stderr)
        return exits.ExitCode.BAD_SETTINGS
    output = loglines.BoundedStream(sys.stdout.fileno())
    logs.configure_logs("info", settings.vm, settings.zone, output)
    loglines.bound_root_logger()
    anyio.run(run_entry, settings, file)
    return exits.ExitCode.PLANNED_STOP


async def run_entry(
    settings: entry_settings.Settings, file: pathlib.Path
) -> None:
    """Run an entry VM until its graceful shutdown is complete.

    :param file: settings file, which is read again on SIGHUP
    """
    import_controllers()
    board = boards.Blackboard(settings, uuid.uuid4().hex[:12])
    http_client = calls.HttpClient(read_clock)
    ports = roles.Ports(
        store.Store(
            http_client,
            settings.store,
            functools.partial(recording.record_era, board),
        ),
        orders.EngineClient(http_client, settings.vm),
        lambda: entry_settings.load_settings(file),
    )
    running: dict[str, Any] = {
        name: controller(board, ports, read_clock)
        for name, controller in roles.CONTROLLERS.items()
    }
    meters.REGISTRY.register(meters.BoardCollector(board, read_clock))
    meters.REGISTRY.register(quota_meters.QuotaCollector(board))
    meters.REGISTRY.register(share_meters.ShareCollector(board, read_clock))
    meters.REGISTRY.register(clientmeters.AccountCollector(board.account))
    logevents.log(LOG, process_events.Starting(board.incarnation))
    async with anyio.create_task_group() as group:
        for name, controller in running.items():
            group.start_soon(_run_controller, name, controller)
        await running["lifecycle"].drain(running["forwarding"].listener)
        group.cancel_scope.cancel()


async def _run_controller(name: str, controller: roles.Controller) -> None:
    try:
        await controller.run()
    except Exception as error:
        logevents.log(LOG, process_events.ControllerFailed(name), error)
        raise
    raise ControllerEndedError(name)
