"""The entry role, which routes each request to an endpoint."""

from __future__ import annotations

import functools
import itertools

from bench import owner as owners
from bench import site as sites
from bronzetrack.core import failures
from bronzetrack.membership import messages as membership
from bronzetrack.membership import summaries
from bronzetrack.routing import candidates
from bronzetrack.routing import choice


class EntryRole:
    """Routes the requests of all VMs."""

    def __init__(self, site: sites.Site, owner: owners.OwnerRole) -> None:
        self._site = site
        self._owner = owner
        self._next_index = itertools.count()
        owner.resend = self.route

    def schedule(self) -> None:
        """Schedule the arrival of each request at a random VM."""
        site = self._site
        names = list(site.vms)
        for outcome in site.outcomes:
            entry = site.vms[site.rng.choice(names)]
            site.timeline.call_at(
                outcome.arrival.at_ms,
                functools.partial(self.route, outcome, entry),
            )

    def route(self, outcome: sites.Outcome, entry: sites.Vm) -> None:
        """Send a request to the endpoint that the policy chooses."""
        site = self._site
        received_summaries = {
            name: self._get_received_summary(name, entry)
            for name in site.endpoints
        }
        chosen = self.choose_endpoint(
            entry,
            received_summaries,
            outcome.arrival.adapter,
            outcome.excluded,
        )
        if isinstance(chosen, failures.Failure):
            outcome.refusal = chosen.reason.value
            return
        if not outcome.attempts:
            entry.budget = entry.budget.credit()
        outcome.attempts += 1
        entry.in_flight[chosen.endpoint] += 1
        entry.recent.append(outcome.arrival.adapter)
        outcome.endpoint = chosen.endpoint
        hop_ms = 0.0 if chosen.owner == entry.name else sites.HOP_MS
        site.call_later(hop_ms, lambda: self._owner.accept(outcome, entry))

    def _get_received_summary(
        self, name: str, entry: sites.Vm
    ) -> candidates.ReceivedSummary:
        site = self._site
        owner = site.owners[name]
        if owner is entry:
            return candidates.ReceivedSummary(
                owner.name, summarize_endpoint(site, name), 0
            )
        return candidates.ReceivedSummary(
            owner.name,
            owner.reported[name],
            int(site.timeline.now_ms - owner.heartbeat_ms),
            len(site.vms),
        )

    def choose_endpoint(
        self,
        entry: sites.Vm,
        received_summaries: dict[str, candidates.ReceivedSummary],
        adapter: str,
        excluded: set[str],
    ) -> candidates.Candidate | failures.Failure:
        """Choose the endpoint for one attempt by the policy of the run.

        :param excluded: endpoints that refused earlier attempts
        """
        site = self._site
        if site.policy == "round_robin":
            options = candidates.list_candidates(
                site.endpoints,
                received_summaries,
                adapter,
                entry.in_flight,
                frozenset(),
                entry.zone,
            )
            return options[next(self._next_index) % len(options)]
        return choice.choose_endpoint(
            site.endpoints,
            received_summaries,
            adapter,
            entry.in_flight,
            frozenset(),
            entry.zone,
            excluded,
            policy=site.policy,
        )


def summarize_endpoint(
    site: sites.Site, name: str
) -> membership.EndpointSummary:
    """Return the summary that the owner of an endpoint reports."""
    return summaries.summarize_endpoint(
        site.queues[name], site.endpoints[name].slots, draining=False
    )
