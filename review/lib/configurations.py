"""Parts of the operator's configuration."""

from __future__ import annotations

import deployment

PLAIN = {"name": "ledger", "health_path": "/healthz", "max_conns": 100}


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route whose path prefix is its name.

    :param kind: `safe`, `unsafe` or `streaming`
    """
    return {
        "name": name,
        "hostname": deployment.HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 10000,
        "aim_ms": 500,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
    } | fields


def make_entry(service: str, address: str, **fields: object) -> dict:
    """Return the entry of a server in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "capacity": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1_790_000_000_000,
    } | fields


def make_configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return the first configuration."""
    return {
        "version": 3,
        "routes": routes,
        "services": services,
        "limits": deployment.LIMITS,
    }
