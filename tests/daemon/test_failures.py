"""Tests of whole daemons while parts of the site fail."""

from __future__ import annotations

from collections.abc import Iterator
import json
import signal

import pytest

from standins import site as sites


@pytest.fixture(scope="module")
def failing_site(tmp_path_factory) -> Iterator[sites.Site]:
    folder = tmp_path_factory.mktemp("failing-site")
    with sites.run_site(folder) as running:
        sites.publish_samples(running)
        running.wait(lambda: running.count_owned() == 4)
        yield running


def get_status(site: sites.Site, vm: sites.Vm) -> str:
    return site.get_state(vm, "lifecycle")["status"]


def list_owners(site: sites.Site, vm: sites.Vm) -> dict[str, tuple[str, int]]:
    """Return owner and fencing token by endpoint as one VM sees them."""
    owners = site.get_state(vm, "ownership")["owners"]
    return {
        name: (owner["vm"], owner["fencing"]) for name, owner in owners.items()
    }


def wait_settled(site: sites.Site, names: set[str]) -> None:
    """Wait until all VMs see the same owners, all of them among some VMs."""

    def is_settled() -> bool:
        seen = [list_owners(site, site.vms[name]) for name in names]
        holders = {vm for vm, _ in seen[0].values()}
        return (
            len(seen[0]) == len(site.endpoints)
            and holders <= names
            and all(owners == seen[0] for owners in seen)
        )

    site.wait(is_settled)


def test_joining_vms_get_a_share(failing_site):
    """Guards against the VM that starts first keeping all endpoints."""
    first = failing_site.vms["vm-0"]

    def holds_one_each() -> bool:
        holders = {vm for vm, _ in list_owners(failing_site, first).values()}
        return len(holders) >= 3

    failing_site.wait(holds_one_each)


def test_vm_started_in_an_outage_serves(failing_site):
    """Guards against a VM that waits for the log, or loses what it had."""
    site = failing_site
    wait_settled(site, set(site.vms))
    before = site.get_state(site.vms["vm-0"], "configuration")
    site.set_faults(log_down=True)
    vm = site.add_vm("vm-3", "zone-d", f"{sites.NETWORK}.2.4")
    site.start_vm(vm)
    site.wait(lambda: get_status(site, vm) == "serving")
    found = site.get_state(vm, "configuration")
    assert found["configuration"] == before["configuration"]
    assert found["next_offset"] == before["next_offset"]
    answer = site.send("trust-1@1", vm=vm, max_tokens=2)
    assert answer.status == 200
    site.set_faults(log_down=False)
    site.wait(lambda: site.get_state(vm, "ownership")["caught_up"])
    wait_settled(site, set(site.vms))


def test_truncated_stream_brings_the_same_owners(failing_site):
    """Guards against a new VM that takes endpoints which have owners."""
    site = failing_site
    wait_settled(site, set(site.vms))
    before = list_owners(site, site.vms["vm-0"])
    statistics = site.read_statistics()
    for stream in ("ownership", "configuration"):
        end = statistics["streams"][stream]
        url = f"{site.platform_url}/streams/{stream}/truncate"
        sites.fetch("POST", url, {"start": end})
    vm = site.add_vm("vm-4", "zone-d", f"{sites.NETWORK}.2.5")
    site.start_vm(vm)
    site.wait(lambda: get_status(site, vm) == "serving")
    site.wait(lambda: list_owners(site, vm) == before)
    configuration = site.get_state(vm, "configuration")
    assert configuration["complete"]


def test_paused_owner_acts_no_longer(failing_site):
    """Guards against an owner that resumes after its lease and goes on."""
    site = failing_site
    wait_settled(site, set(site.vms))
    before = list_owners(site, site.vms["vm-0"])
    paused = next(site.vms[vm] for vm, _ in before.values() if vm != "vm-0")
    others = set(site.vms) - {paused.name}
    paused.process.send_signal(signal.SIGSTOP)
    try:
        wait_settled(site, others)
    finally:
        paused.process.send_signal(signal.SIGCONT)
    after = list_owners(site, site.vms["vm-0"])
    assert all(
        after[name][1] >= fencing for name, (_, fencing) in before.items()
    )
    site.wait(lambda: list_owners(site, paused) != before)
    wait_settled(site, set(site.vms))
    assert site.send("trust-4@1", vm=paused, max_tokens=2).status == 200


def test_each_vm_in_turn_stops_and_comes_back(failing_site):
    """Guards against a planned stop that cuts off or strands work."""
    site = failing_site
    for vm in list(site.vms.values()):
        others = [other for other in site.vms.values() if other is not vm]
        vm.process.send_signal(signal.SIGTERM)
        site.wait(lambda: not sites.is_running(vm))
        assert vm.process.returncode == 0
        wait_settled(site, {other.name for other in others})
        answer = site.send("trust-2@1", vm=others[0], max_tokens=2)
        assert answer.status == 200
        assert json.loads(answer.content)["model"] == "trust-2@1"
        site.start_vm(vm)
        site.wait(lambda: get_status(site, vm) == "serving")


def test_vm_that_the_list_calls_leaving_hands_over(failing_site):
    """Guards against new work for a VM that only the platform retires."""
    site = failing_site
    wait_settled(site, set(site.vms))
    names = set(site.vms)
    row = {"name": "vm-1", "address": "", "state": "leaving"}
    sites.fetch("PUT", f"{site.platform_url}/vms", [row])
    wait_settled(site, names - {"vm-1"})
    # What the list said last stays while it is down.
    site.set_faults(list_down=True)
    before = list_owners(site, site.vms["vm-0"])
    answer = site.send("trust-3@1", vm=site.vms["vm-0"], max_tokens=2)
    assert answer.status == 200
    assert list_owners(site, site.vms["vm-0"]) == before
    site.set_faults()
    sites.fetch("PUT", f"{site.platform_url}/vms", [])

    def has_share() -> bool:
        owners = list_owners(site, site.vms["vm-0"]).values()
        return "vm-1" in {vm for vm, _ in owners}

    site.wait(has_share)
