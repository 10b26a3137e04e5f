"""Tests that a leaving endpoint receives no new work."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from standins import site as sites

FEW_SECONDS_S = 6.0
SENDS = 6


def send_from_each(site, model):
    """Return which endpoints answered one request from each VM."""
    answers = [site.send(model, vm=vm) for vm in site.vms.values()]
    refusals = [item.content for item in answers if item.status != 200]
    assert refusals == []
    return {read_endpoint(answer) for answer in answers}


def read_endpoint(answer):
    return dict(answer.headers)[b"bronzetrack-endpoint"].decode()


def check_avoided(site, model, endpoint):
    """Check that new work goes elsewhere after a few seconds, and stays."""
    site.wait(
        lambda: endpoint not in send_from_each(site, model), FEW_SECONDS_S
    )
    for _ in range(SENDS):
        assert endpoint not in send_from_each(site, model)


def clear_list(site, url):
    """List nothing as leaving, and wait until every VM has read that.

    An owner that reads the list later refuses work for its endpoint.
    """
    sites.fetch("PUT", f"{url}/vms", [])
    site.wait(
        lambda: not any(
            site.get_state(vm, "membership")["listed_leaving"]
            for vm in site.vms.values()
        )
    )


def test_endpoint_that_reports_leaving_is_avoided(site):
    """Guards against work for an endpoint whose own report says it leaves."""
    endpoint = read_endpoint(site.send("trust-4"))
    sites.fetch("POST", f"{site.endpoints[endpoint].url}/leave")
    check_avoided(site, "trust-4", endpoint)


def test_endpoint_listed_as_leaving_is_avoided(site):
    """Guards against work for an endpoint that the VM list says leaves."""
    endpoint = read_endpoint(site.send("trust-5"))
    row = {"name": endpoint, "address": "", "state": "leaving"}
    sites.fetch("PUT", f"{site.platform_url}/vms", [row])
    check_avoided(site, "trust-5", endpoint)
    clear_list(site, site.platform_url)


def test_endpoint_leaving_in_inventory_is_avoided(site):
    """Guards against work for an endpoint that operators marked."""
    endpoint = read_endpoint(site.send("trust-6"))
    inventory = site.make_inventory()
    inventory["endpoints"][endpoint]["leaving"] = True
    sites.publish_documents(site, {"inventory": inventory})
    check_avoided(site, "trust-6", endpoint)


@pytest.fixture
def disagreeing_site(tmp_path) -> Iterator[sites.Site]:
    """A site whose VMs read different lists."""
    with sites.run_site(
        tmp_path, engines=2, services=0, own_lists=True
    ) as running:
        sites.publish_samples(running)
        running.wait(running.is_settled)
        yield running


@pytest.mark.parametrize("told", ["owner", "another"])
def test_endpoint_that_one_vm_sees_leaving_is_avoided(disagreeing_site, told):
    """Guards against new work through VMs whose list lags behind."""
    site = disagreeing_site
    endpoint = read_endpoint(site.send("trust-4"))
    owners = site.get_state(site.vms["vm-0"], "ownership")["owners"]
    owner = owners[endpoint]["vm"]
    vm = next(
        vm
        for name, vm in site.vms.items()
        if (name == owner) == (told == "owner")
    )
    row = {"name": endpoint, "address": "", "state": "leaving"}
    sites.fetch("PUT", f"{vm.vm_list_url}/vms", [row])
    check_avoided(site, "trust-4", endpoint)
    clear_list(site, vm.vm_list_url)
