"""The site that the other tests of this folder run on."""

from __future__ import annotations

import pytest

from standins import site as sites


def test_site_starts_with_answers_from_all_vms(tmp_path):
    """Guards against tests that read from a daemon before it listens."""
    with sites.run_site(tmp_path, vms=2, engines=0, services=0) as site:
        names = [site.get_state(vm, "vm")["name"] for vm in site.vms.values()]
    assert names == list(site.vms)


def test_stopped_vm_is_told_from_a_condition_that_fails(tmp_path):
    """Guards against a read of a stopped daemon that passes for a value."""
    with sites.run_site(tmp_path, vms=1, engines=0, services=0) as site:
        [vm] = site.vms.values()
        vm.process.kill()
        vm.process.wait()
        with pytest.raises(sites.NoAnswerError):
            site.get_state(vm, "vm")
