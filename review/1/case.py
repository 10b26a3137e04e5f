"""An entry of another writer with bytes that cannot be read."""

from __future__ import annotations

import asyncio
import itertools

import configurations
import deployment
import engine as engines
import http_peer

MODEL = "m0"
ADAPTERS = ("a1", "a2", "a3")
VMS = 2
KEPT_CHANNELS = 8
WORK_S = 0.3
# The platform starts a process again after a short delay.
RESTART_DELAY_S = 1.0
WATCH_S = 30.0
ALLOWED_LOSSES = 3
# An entry whose bytes are no UTF-8: its address has a lone surrogate.
ENTRY = (
    b'{"service":"scribe","address":"fe80::1%\xed\xa0\x80:8080",'
    b'"zone":"zone-a","version":"v1","capacity":8,"state":"ready",'
    b'"cold_left_ms":0,"sequence":1,"born":1790000000000}'
)


class Case:
    """One run of the case."""

    def __init__(self, site: deployment.Deployment) -> None:
        self._site = site
        self._ids = itertools.count(1)
        self._closing = False
        self._runs: set[str] = set()
        self.losses: list[str] = []
        self.ends: dict[str, int] = {}
        self._engine = engines.Engine("i-2", MODEL, 4, 10, 0.01, site.record)

    async def start(self) -> None:
        """Start the servers, the store and the VMs."""
        site = self._site
        ledger = await http_peer.Server(self._run_ledger).start()
        engine = await http_peer.Server(self._engine.handle).start()
        model = {
            "name": MODEL,
            "weights_mb": 16100,
            "load_time_s": 1.3,
            "adapters": 3000,
            "adapter_mb": 14.0,
        }
        runtime = {
            "capacity": 32,
            "kv_capacity": 149363,
            "models": [model],
            "weights_mb": 16700,
            "adapter_slots": 4,
            "loads_per_s": 4.3,
        }
        scribe = {"name": "scribe", "health_path": "/h", "max_conns": 620}
        await site.start_store(
            configurations.make_configuration(
                [
                    configurations.make_route(
                        "summary", "streaming", "scribe", gap_target_ms=250
                    ),
                    configurations.make_route("file", "unsafe", "ledger"),
                ],
                [configurations.PLAIN, scribe | {"runtime": runtime}],
            )
        )
        entry = configurations.make_entry("ledger", ledger)
        site.store.put_json("keyed.servers", "i-1", entry)
        entry = configurations.make_entry(
            "scribe", engine, models=self._engine.list_models()
        )
        site.store.put_json("keyed.servers", "i-2", entry)
        for number in range(VMS):
            await site.start_vm(number + 1)
        for vm in site.vms:
            await site.await_ready(vm)
        await asyncio.sleep(deployment.CONTACT_S + 1)

    async def _run_ledger(
        self, request: http_peer.Request, writer: asyncio.StreamWriter
    ) -> None:
        identity = request.headers["x-request-id"]
        self._runs.add(identity)
        self._site.record(f"ledger: runs {identity}")
        await asyncio.sleep(WORK_S)
        headers = {"X-Request-Id": identity, "X-Server-Signature": "i-1.sig"}
        writer.write(http_peer.make_response(200, b"filed", headers))

    async def supervise(self, vm: deployment.Vm) -> None:
        """Start the process of a VM again whenever it ends."""
        while True:
            code = await vm.process.wait()
            if self._closing:
                return
            self.ends[vm.name] = self.ends.get(vm.name, 0) + 1
            self._site.record(f"{vm.name}: ended by itself, exit code {code}")
            await asyncio.sleep(RESTART_DELAY_S)
            await self._site.run_vm(vm)

    async def stream(self, vm: deployment.Vm) -> None:
        """Send requests that name an adapter."""
        for adapter in itertools.cycle(ADAPTERS):
            headers = {"X-Model": f"{MODEL}/{adapter}"}
            await self._send_all(vm, "/summary/x", headers, 1)

    async def file(self, vm: deployment.Vm) -> None:
        """Send requests on kept channels."""
        while True:
            await self._send_all(vm, "/file/x", {}, 1000)

    async def _send_all(
        self, vm: deployment.Vm, path: str, headers: dict, count: int
    ) -> None:
        """Send requests on one channel until it is closed."""
        channel = http_peer.Channel()
        try:
            await channel.connect(vm.host, vm.front)
        except OSError:
            await asyncio.sleep(0.2)
            return
        for _ in range(count):
            identity = f"{path[1:5]}-{next(self._ids)}"
            response = await channel.request(
                "POST",
                path,
                headers
                | {
                    "Host": deployment.HOST,
                    "X-Request-Id": identity,
                    "X-Deadline-Ms": "8000",
                },
                b"body",
            )
            if response.whole:
                continue
            has_run = identity in self._runs
            self._site.record(
                f"consumer: {identity} got no answer from {vm.name}, its"
                f" channel was closed; a sound server had got it: {has_run}"
            )
            if has_run and not self._closing:
                self.losses.append(identity)
            break
        channel.close()

    async def play(self) -> None:
        """Write the entry and watch."""
        site = self._site
        tasks = [asyncio.create_task(self.supervise(vm)) for vm in site.vms]
        for vm in site.vms:
            tasks.append(asyncio.create_task(self.stream(vm)))
            tasks += [
                asyncio.create_task(self.file(vm))
                for _ in range(KEPT_CHANNELS)
            ]
        await asyncio.sleep(3.0)
        if deployment.has_trouble():
            site.store.put("keyed.servers", "i-other", ENTRY)
            site.record(f"another writer: servers/i-other = {ENTRY!r}")
        await asyncio.sleep(WATCH_S)
        self._closing = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def run(site: deployment.Deployment) -> int:
    """Run the case."""
    case = Case(site)
    await case.start()
    await case.play()
    for vm in site.vms:
        site.record_events(vm, "controller_failed")
    site.record(f"ended by themselves: {case.ends}")
    site.record(f"lost on kept channels: {len(case.losses)}")
    if len(case.losses) > ALLOWED_LOSSES:
        return deployment.BROKEN
    return deployment.HELD


if __name__ == "__main__":
    deployment.run_case(__file__, run)
