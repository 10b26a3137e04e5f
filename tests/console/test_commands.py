"""Tests of the commands against a running site."""

from __future__ import annotations

import json

import click
import httpcore
import pytest

from bronzetrack.console import application


def list_commands(group: click.Group, path: tuple[str, ...] = ()):
    """Iterate over the paths of all commands of a group."""
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from list_commands(command, (*path, name))
        else:
            yield (*path, name)


def test_each_help_has_an_example(run):
    """Guards against a command whose help does not show its use."""
    for path in list_commands(application.application):
        result = run(*path, "--help")
        assert result.exit_code == 0
        assert f"Example: bronzetrack {' '.join(path)}" in " ".join(
            result.output.split()
        )


def test_streamed_request_shows_where_it_ran(call):
    """Guards against an answer that cannot be traced to an endpoint."""
    result = call("trust-1@1", "--stream", "--max-tokens", "3")
    assert result.exit_code == 0, result.output
    assert result.stdout == "token0 token1 token2 \n"
    assert "outcome completed" in result.stderr
    assert "adapter trust-1, version 1, endpoint engine-" in result.stderr


def test_request_with_new_key(call):
    """Guards against a key that is refused for a missing issue time."""
    result = call("trust-2", "--key", "new", "--chat", "--format", "json")
    assert result.exit_code == 0, result.output
    assert json.loads(result.stdout)["outcome"] == "completed"
    assert result.stderr.startswith("Idempotency-Key: ")


def test_refused_request_fails_in_one_line(call):
    """Guards against a refusal that exits with the code for success."""
    result = call("absent")
    assert result.exit_code == 1
    assert "error: unknown_adapter" in result.stderr


def test_status_lists_each_endpoint_once(inspect):
    """Guards against a status that omits an endpoint or its owner."""
    result = inspect("status", "--format", "json")
    assert result.exit_code == 0, result.output
    found = json.loads(result.stdout)
    owned = [name for vm in found["vms"] for name in vm["endpoints"]]
    assert sorted(owned) == ["engine-0", "engine-1", "service-2"]
    assert {vm["configuration_offset"] for vm in found["vms"]} == {1}
    assert found["orphans"] == {}


def test_state_prints_one_section(inspect):
    """Guards against a state dump that is readable only as JSON."""
    result = inspect("state", "vm")
    assert result.exit_code == 0, result.output
    assert "availability_zone" in result.stdout


def test_state_shows_considered_endpoints(site, inspect):
    """Guards against routing decisions that leave no record."""
    assert site.send("trust-4").status == 200
    result = inspect("state", "requests", "--format", "json")
    newest = json.loads(result.stdout)["value"]["recent"][-1]
    assert newest["adapter"] == "trust-4@2"
    considered = [item["endpoint"] for item in newest["considered"]]
    assert considered == ["engine-0", "engine-1"]


def test_state_shows_refusals(site, inspect):
    """Guards against a refusal that the VM does not record."""
    assert site.send("absent").status == 404

    def read_refusals():
        result = inspect("state", "requests", "--format", "json")
        return json.loads(result.stdout)["value"]["refusals"]

    # The controller records a refusal in its next step, after the response.
    site.wait(read_refusals)
    newest = read_refusals()[-1]
    assert newest["failure"]["reason"] == "unknown_adapter"
    assert "absent" in newest["failure"]["detail"]


def test_metrics_count_a_request(site):
    """Guards against counters that no controller updates."""
    vm = site.vms["vm-0"]
    assert site.send("trust-5@1", stream=True, max_tokens=2).status == 200
    assert site.send("absent").status == 404
    site.wait(lambda: sum_metric(site, "loads_total", "none") > 0)
    assert sum_metric(site, "requests_total", "completed", vm) > 0
    assert sum_metric(site, "requests_total", "unknown_adapter", vm) > 0
    assert sum_metric(site, "first_chunk_seconds_count", "normal", vm) > 0


def sum_metric(site, name, label, vm=None) -> float:
    """Return the sum of a metric with a label value, over one or all VMs."""
    total = 0.0
    for item in [vm] if vm else site.vms.values():
        answer = httpcore.request("GET", f"http://{item.operators}/metrics")
        lines = answer.content.decode().splitlines()
        total += sum(
            float(line.split()[-1])
            for line in lines
            if line.startswith(f"bronzetrack_{name}{{") and label in line
        )
    return total


def test_unknown_section_lists_the_valid_ones(inspect):
    """Guards against an error that does not list the valid sections."""
    result = inspect("state", "leases")
    assert result.exit_code == 1
    assert "ownership" in result.stderr


def test_diff_lists_changed_entries(site, run, tmp_path):
    """Guards against a diff that omits changes of a publication."""
    inventory = site.make_inventory()
    inventory["adapters"]["trust-0"]["current"] = "1"
    del inventory["adapters"]["trust-1"]
    path = tmp_path / "inventory.json"
    path.write_text(json.dumps(inventory))
    arguments = ("--log-url", site.platform_url, "--format", "json")
    result = run("config", "diff", str(path), *arguments)
    assert result.exit_code == 0, result.output
    changes = {
        row["entry"]: row["change"] for row in json.loads(result.stdout)
    }
    assert changes == {
        "adapters.trust-0": "changed",
        "adapters.trust-1": "removed",
    }


def test_history_shows_verdicts(site, run):
    """Guards against publications whose verdict cannot be looked up."""
    result = run("config", "history", "--log-url", site.platform_url)
    assert result.exit_code == 0, result.output
    assert result.stdout.count("True") >= 2


@pytest.mark.parametrize(
    "arguments",
    [
        ("entry", "x", "--address", "nowhere"),
        ("status",),
        ("config", "history", "--log-url", "ftp://127.0.0.1:1"),
        ("request", "x", "--address", "127.0.0.1:1"),
    ],
)
def test_usage_error_exits_with_2(run, arguments):
    """Guards against the exit code of a failure for a mistyped command."""
    assert run(*arguments).exit_code == 2


@pytest.mark.parametrize(
    "arguments",
    [
        ("entry", "x", "--address", "127.0.0.1:1"),
        ("status", "--operators", "127.0.0.1:1"),
        ("config", "history", "--log-url", "http://127.0.0.1:1"),
        ("drain", "vm-0", "--operators", "127.0.0.1:1"),
        ("state", "vm", "--operators", "127.0.0.1:1"),
    ],
)
def test_failure_is_one_line(run, arguments):
    """Guards against a traceback instead of a cause and a remedy."""
    result = run(*arguments)
    assert result.exit_code == 1
    assert result.stderr.startswith("error: ")
    assert result.stderr.count("\n") == 1


def test_drain_ends_the_daemon(site, inspect):
    """Guards against a planned stop that never begins or never ends.

    This test runs after all others that use the site, since it removes a VM
    from it.
    """
    result = inspect("drain", "vm-1")
    assert result.exit_code == 0, result.output
    process = site.vms["vm-1"].process
    assert process.wait(timeout=20) == 0


@pytest.mark.parametrize(
    ("group", "text"),
    [
        ("inventory", '{"members": 1}'),
        ("rules", '{"members": {"north": {"weight": -1}}}'),
        ("settings", "[vm]\nname = vm-1\n"),
    ],
)
def test_check_lists_mistakes_as_json(run, tmp_path, group, text):
    """Guards against mistakes that scripts can only parse from text."""
    path = tmp_path / "file"
    path.write_text(text)
    result = run(group, "check", str(path), "--format", "json")
    assert result.exit_code == 1
    found = json.loads(result.stdout)
    assert found
    assert {item["file"] for item in found} == {str(path)}


def test_check_of_a_correct_file_lists_nothing(run, good, tmp_path):
    """Guards against a correct file that is reported as invalid."""
    path = tmp_path / "vm.ini"
    path.write_text(good)
    result = run("settings", "check", str(path), "--format", "json")
    assert (result.exit_code, json.loads(result.stdout)) == (0, [])
