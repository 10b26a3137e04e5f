"""Tests of platform outages and of lost VMs and engines."""

from __future__ import annotations

from concurrent import futures
import json
import time


def send_keyed(site, key, timeout_s=30.0):
    """Send non-idempotent work with an idempotency key."""
    headers = {
        "Idempotency-Key": key,
        "Idempotency-Issued-At": str(int(time.time() * 1000)),
    }
    return site.send(
        "trust-1@1", headers=headers, prompt=key, timeout_s=timeout_s
    )


def send_to_each(site, model):
    """Return the set of statuses of one request to each VM."""
    return {site.send(model, vm=vm).status for vm in site.vms.values()}


def test_log_outage_refuses_only_work_under_keys(healthy_site):
    """Guards against a log outage that stops all work, or that loses keys."""
    site = healthy_site
    assert send_to_each(site, "trust-1@1") == {200}
    site.set_faults(log_down=True)
    # The refusal takes longer than a lease, so leases expire meanwhile.
    with futures.ThreadPoolExecutor() as pool:
        refused = pool.submit(send_keyed, site, "in-outage")
        while not refused.done():
            assert send_to_each(site, "trust-1@1") == {200}
    answer = refused.result()
    assert answer.status == 503
    assert json.loads(answer.content)["error"]["type"] == "log_unavailable"
    assert b"retry-after" in dict(answer.headers)
    site.set_faults()
    site.wait(lambda: send_keyed(site, "after-outage").status == 200)
    assert site.count_runs("in-outage") == 0
    assert site.count_runs("after-outage") == 1


def test_engine_that_restarts_empty_is_loaded_again(healthy_site):
    """Guards against requests lost to an engine restarted without adapters."""
    site = healthy_site
    answer = site.send("trust-2@1")
    name = dict(answer.headers)[b"bronzetrack-endpoint"].decode()
    engine = site.endpoints[name]
    engine.process.kill()
    engine.process.wait()
    assert send_to_each(site, "trust-2@1") == {200}
    site.start_endpoint(engine)
    site.wait_endpoints()
    assert send_to_each(site, "trust-2@1") == {200}


def test_cold_adapter_is_served_after_store_outage(healthy_site):
    """Guards against a store outage that affects warm adapters.

    Requests for cold adapters have to complete once the outage is over.
    """
    site = healthy_site
    assert site.send("trust-1@1").status == 200
    site.set_faults(store_down=True)
    with futures.ThreadPoolExecutor() as pool:
        cold = pool.submit(site.send, "trust-7@1")
        assert send_to_each(site, "trust-1@1") == {200}
        assert not cold.done()
        site.set_faults()
        answer = cold.result()
    assert answer.status == 200
    assert json.loads(answer.content)["model"] == "trust-7@1"


def test_vm_replaced_during_list_outage_serves(healthy_site):
    """Guards against a VM that needs stored state or the VM list to serve."""
    site = healthy_site
    site.set_faults(list_down=True)
    vm = site.vms["vm-1"]
    vm.process.kill()
    vm.process.wait()
    site.start_vm(vm)
    site.wait(lambda: site.is_serving("vm-1"))
    assert send_to_each(site, "trust-1@1") == {200}
    site.wait(lambda: has_only_running_owners(site))


def has_only_running_owners(site):
    """Return whether every endpoint belongs to a running daemon."""
    incarnations = {
        site.get_state(vm, "vm")["incarnation"] for vm in site.vms.values()
    }
    owners = site.get_state(site.vms["vm-0"], "ownership")["owners"]
    return {owner["incarnation"] for owner in owners.values()} <= incarnations
