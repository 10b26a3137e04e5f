"""Tests that a leaving endpoint receives no new work."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from standins import site as sites

FEW_SECONDS_S = 6.0
SENDS = 6


def send_to_each(site, model):
    """Send one request to each VM and return the endpoints that answered."""
    answers = [site.send(model, vm=vm) for vm in site.vms.values()]
    refusals = [item.content for item in answers if item.status != 200]
    assert refusals == []
    return {read_endpoint(answer) for answer in answers}


def read_endpoint(answer):
    """Return the endpoint in the headers of a response."""
    return dict(answer.headers)[b"bronzetrack-endpoint"].decode()


def check_avoided(site, model, endpoint):
    """Check that an endpoint gets no new work after a few seconds."""
    site.wait(lambda: endpoint not in send_to_each(site, model), FEW_SECONDS_S)
    for _ in range(SENDS):
        assert endpoint not in send_to_each(site, model)


def clear_list(site, url):
    """Clear the VM list and wait until every VM has read it.

    An owner that still has the former list refuses work for its endpoint.
    """
    sites.fetch("PUT", f"{url}/vms", [])
    site.wait(
        lambda: not any(
            site.get_state(vm, "membership")["listed_leaving"]
            for vm in site.vms.values()
        )
    )


def test_endpoint_that_reports_leaving_is_avoided(site):
    """Guards against work for an endpoint that reports itself as leaving."""
    endpoint = read_endpoint(site.send("trust-4"))
    sites.fetch("POST", f"{site.endpoints[endpoint].url}/leave")
    check_avoided(site, "trust-4", endpoint)


def test_endpoint_listed_as_leaving_is_avoided(site):
    """Guards against work for an endpoint listed as leaving in the VM list."""
    endpoint = read_endpoint(site.send("trust-5"))
    row = {"name": endpoint, "address": "", "state": "leaving"}
    sites.fetch("PUT", f"{site.platform_url}/vms", [row])
    check_avoided(site, "trust-5", endpoint)
    clear_list(site, site.platform_url)


def test_endpoint_leaving_in_inventory_is_avoided(site):
    """Guards against work for an endpoint marked as leaving by operators."""
    endpoint = read_endpoint(site.send("trust-6"))
    inventory = site.make_inventory()
    inventory["endpoints"][endpoint]["leaving"] = True
    sites.publish_documents(site, {"inventory": inventory})
    check_avoided(site, "trust-6", endpoint)


@pytest.fixture
def disagreeing_site(tmp_path) -> Iterator[sites.Site]:
    """Yield a site whose VMs read different VM lists."""
    with sites.run_site(
        tmp_path, engines=2, services=0, own_lists=True
    ) as running:
        sites.publish_samples(running)
        running.wait(running.is_settled)
        yield running


@pytest.mark.parametrize("informed", ["owner", "another"])
def test_endpoint_that_one_vm_sees_leaving_is_avoided(
    disagreeing_site, informed
):
    """Guards against new work through VMs whose VM list is outdated."""
    site = disagreeing_site
    endpoint = read_endpoint(site.send("trust-4"))
    owners = site.get_state(site.vms["vm-0"], "ownership")["owners"]
    owner = owners[endpoint]["vm"]
    vm = next(
        vm
        for name, vm in site.vms.items()
        if (name == owner) == (informed == "owner")
    )
    row = {"name": endpoint, "address": "", "state": "leaving"}
    sites.fetch("PUT", f"{vm.vm_list_url}/vms", [row])
    check_avoided(site, "trust-4", endpoint)
    clear_list(site, vm.vm_list_url)
