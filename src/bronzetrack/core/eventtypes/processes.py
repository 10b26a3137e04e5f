"""Log events of the process and its life cycle."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@logevents.register("starting", "the process is starting")
@attrs.frozen
class Starting(logevents.LogEvent):
    """The process starts; it accepts no requests yet."""

    incarnation: str


@logevents.register("ready", "this VM accepts requests")
@attrs.frozen
class Ready(logevents.LogEvent):
    """The readiness check of this VM starts to return 200."""


@logevents.register("not_ready", "requests should be sent to other VMs")
@attrs.frozen
class NotReady(logevents.LogEvent):
    """The readiness check of this VM starts to return 503."""


@logevents.register("resolve_empty", "no entry VM is ready")
@attrs.frozen
class ResolveEmpty(logevents.LogEvent):
    """A caller asked for a VM to use, and no VM was ready.

    :param zone: availability zone of the caller
    """

    zone: str


@logevents.register("reload", "settings were reloaded")
@attrs.frozen
class SettingsReloaded(logevents.LogEvent):
    """Reloaded settings have taken effect.

    :param need_restart: changed settings that take effect only after a
        restart
    """

    need_restart: list[str]


@logevents.register(
    "reload_failed",
    "the settings are invalid; the previous ones stay in force",
    logging.ERROR,
)
@attrs.frozen
class ReloadFailed(logevents.LogEvent):
    """A settings file with mistakes, which was not applied."""

    mistakes: list[str]


@logevents.register("stopping", "a planned stop has started")
@attrs.frozen
class Stopping(logevents.LogEvent):
    """A planned stop has started."""


@logevents.register("stopped", "a planned stop has finished")
@attrs.frozen
class Stopped(logevents.LogEvent):
    """A planned stop has finished.

    :param unfinished: number of requests that were cut off
    """

    unfinished: int


@logevents.register("paused", "this process stood still", logging.WARNING)
@attrs.frozen
class Paused(logevents.LogEvent):
    """The event loop of the process stood still for some time.

    :param paused_s: time, in seconds, by which a timer was late
    :param busy_s: processor time, in seconds, of the process meanwhile
    :param cause: own work, or that the process was not run
    """

    paused_s: float
    busy_s: float
    cause: str


@logevents.register(
    "controller_failed", "a controller failed", logging.CRITICAL
)
@attrs.frozen
class ControllerFailed(logevents.LogEvent):
    """An internal error of a controller, which ends the process."""

    controller: str
