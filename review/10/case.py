"""Changes of the settings file end processes that are starting.

The settings files of two VMs of four change several times. Their processes
get SIGHUP shortly after their start.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

import deployment
import plain

VMS = 4
# VMs whose settings files change, and changes of each of them.
CHANGED_VMS = 2
CHANGES = 4
# Time from the start of a process, or from the last change, to a change.
CHANGE_AFTER_S = 0.15
# Time after which a process that was told of a change still has to run.
WATCH_S = 1.0
# Delay after which the platform starts a process again.
RESTART_S = 0.5
# Processes that end by themselves so often, on so many VMs, break the rule.
MAX_ENDS = 2
MAX_VMS = 1


async def play(site: deployment.Deployment) -> list[str]:
    """Change the settings of some VMs and count the ends of processes."""
    server = plain.PlainServer("p1", [], site.record.add)
    await site.add_endpoint("p1", "plain", server.handle)
    site.configure(plain.make_configuration(3))
    vms = [site.add_vm(f"vm-{number}") for number in range(1, VMS + 1)]
    for vm in vms[CHANGED_VMS:]:
        await site.start_ready(vm)
    ends = await asyncio.gather(
        *(change_settings(site, vm) for vm in vms[:CHANGED_VMS])
    )
    for vm in vms:
        if not vm.is_running:
            await site.start(vm)
        await site.await_ready(vm)
    failing = [
        f"{vm.name}: {count} ends of its process by itself"
        for vm, count in zip(vms, ends)
        if count > MAX_ENDS
    ]
    if len(failing) <= MAX_VMS:
        return []
    return [f"Fault: {line}" for line in failing]


async def change_settings(
    site: deployment.Deployment, vm: deployment.Vm
) -> int:
    """Change the settings of a VM several times.

    :returns: number of times that its process ended by itself
    """
    ends = 0
    for number in range(CHANGES):
        if not vm.is_running:
            await asyncio.sleep(RESTART_S)
            await site.start(vm)
        await asyncio.sleep(CHANGE_AFTER_S)
        if deployment.has_trouble():
            text = vm.settings.read_text()
            old, new = f"retry_slack = {54 + number}", 55 + number
            vm.settings.write_text(text.replace(old, f"retry_slack = {new}"))
            vm.send_signal(signal.SIGHUP)
            site.record.add(f"{vm.name} settings changed, SIGHUP")
        await asyncio.sleep(WATCH_S)
        if not vm.is_running:
            ends += 1
            code = vm.process.returncode
            site.record.add(f"{vm.name} ended by itself, exit code {code}")
    return ends


if __name__ == "__main__":
    deployment.run(pathlib.Path(__file__).parent, play)
