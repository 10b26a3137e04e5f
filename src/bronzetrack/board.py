"""The blackboard, which holds the whole state of a daemon."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from bronzetrack.configuration import state as configuration_state
from bronzetrack.core import blackboard
from bronzetrack.core import messages
from bronzetrack.dispatch import state as dispatch_state
from bronzetrack.idempotency import table as key_table
from bronzetrack.limits import transfers
from bronzetrack.membership import lifecycle
from bronzetrack.membership import view
from bronzetrack.ownership import leases
from bronzetrack.retries import suspects
from bronzetrack.settings import model
from bronzetrack.streaming import requests

MAILBOX_ITEMS = 65_536

# The dispatch controller reads `work` and `runs`, and the requests controller
# reads `answers` and `intake`. Every other mailbox is read by the controller
# of the same name.
MAILBOXES = (
    "work",
    "runs",
    "answers",
    "intake",
    "membership",
    "keys",
    "suspects",
    "configuration",
    "lifecycle",
)


def _make_section(
    name: str, factory: Callable[[], Any], writer: str | None = None
) -> Any:
    """Return the attrs field of a section.

    :param factory: builds the initial value
    :param writer: name of the controller that writes the section; defaults to
        the name of the section
    """
    return attrs.field(
        factory=lambda: blackboard.Section(name, writer or name, factory())
    )


@attrs.define
class Blackboard:
    """Holds sections with one writer and mailboxes with one reader each.

    :param settings: settings of the daemon, read once at the start
    :param incarnation: random value that identifies this run of the daemon
    """

    settings: model.Settings
    incarnation: str

    lifecycle: blackboard.Section[lifecycle.Lifecycle] = _make_section(
        "lifecycle", lifecycle.Lifecycle
    )
    configuration: blackboard.Section[
        configuration_state.ConfigurationState
    ] = _make_section("configuration", configuration_state.ConfigurationState)
    membership: blackboard.Section[view.MembershipView] = _make_section(
        "membership", view.MembershipView
    )
    ownership: blackboard.Section[leases.OwnershipState] = _make_section(
        "ownership", leases.OwnershipState
    )
    dispatch: blackboard.Section[dispatch_state.DispatchState] = _make_section(
        "dispatch", dispatch_state.DispatchState
    )
    requests: blackboard.Section[requests.RequestTable] = _make_section(
        "requests", requests.RequestTable
    )
    keys: blackboard.Section[key_table.KeyTable] = _make_section(
        "keys", key_table.KeyTable
    )
    suspects: blackboard.Section[suspects.SuspectTable] = _make_section(
        "suspects", suspects.SuspectTable
    )
    permits: blackboard.Section[transfers.Permits] = _make_section(
        "permits", transfers.Permits, writer="dispatch"
    )
    mailboxes: dict[str, blackboard.Mailbox[Any]] = attrs.field(
        factory=lambda: {
            name: blackboard.Mailbox(name, MAILBOX_ITEMS) for name in MAILBOXES
        }
    )

    @property
    def vm(self) -> str:
        """Name of this VM."""
        return self.settings.vm.name

    def deliver(self, delivery: messages.Delivery) -> bool:
        """Post a message to the mailbox that its class names.

        :returns: whether the mailbox had room for the message
        """
        return self.mailboxes[delivery.message.mailbox].post(delivery)

    def list_sections(self) -> list[blackboard.Section[Any]]:
        """Return all sections."""
        values = attrs.asdict(self, recurse=False).values()
        return [
            value for value in values if isinstance(value, blackboard.Section)
        ]
