"""Tests of the test site that the other tests of this folder use."""

from __future__ import annotations

from collections.abc import Iterator
import signal
import socket
import threading

from daemon import pairs
import pytest

from standins import site as sites


def test_site_starts_with_answers_from_all_vms(tmp_path):
    """Guards against tests that call a daemon before it listens."""
    with sites.run_site(tmp_path, vms=2, engines=0, services=0) as site:
        names = [site.get_state(vm, "vm")["name"] for vm in site.vms.values()]
    assert names == list(site.vms)


def test_read_of_a_stopped_vm_raises(tmp_path):
    """Guards against a stopped daemon that reads like an unmet condition."""
    with sites.run_site(tmp_path, vms=1, engines=0, services=0) as site:
        [vm] = site.vms.values()
        vm.process.kill()
        vm.process.wait()
        with pytest.raises(sites.NoAnswerError):
            site.get_state(vm, "vm")


def test_pair_has_the_stable_owner(tmp_path):
    """Guards against tests that start before the owner is stable."""
    with sites.run_site(tmp_path, vms=2, engines=1, services=0) as site:
        near, far = site.vms.values()
        near.process.send_signal(signal.SIGSTOP)
        sites.publish_samples(site)
        site.wait(lambda: site.get_state(far, "ownership")["owners"])
        near.process.send_signal(signal.SIGCONT)
        assert pairs.find_pair(site).owner is near


@pytest.fixture
def echo_link(tmp_path) -> Iterator[tuple[sites.Site, socket.socket]]:
    """Yield a site and a connection through a link to an echo server."""
    with (
        sites.run_site(
            tmp_path, vms=0, engines=0, services=0, forwarded=True
        ) as site,
        socket.create_server((sites.PLATFORM_HOST, 0)) as server,
    ):
        host, port = server.getsockname()
        link = site.add_link("echo", f"{host}:{port}").split(":")
        with socket.create_connection((link[0], int(link[1])), 5) as near:
            far, _ = server.accept()
            with far:
                threading.Thread(target=echo, args=(far,)).start()
                yield site, near
                near.close()


def echo(connection: socket.socket) -> None:
    """Send back everything that is received, until the connection ends."""
    try:
        while data := connection.recv(100):
            connection.sendall(data)
    except OSError:
        pass


def test_held_link_forwards_bytes_when_it_heals(echo_link):
    """Guards against a held link that forwards bytes, or that loses some."""
    site, near = echo_link
    near.sendall(b"1")
    assert near.recv(1) == b"1"
    site.set_link("echo", "hold")
    near.sendall(b"2")
    near.settimeout(0.3)
    with pytest.raises(TimeoutError):
        near.recv(1)
    site.set_link("echo", "forward")
    near.settimeout(5)
    assert near.recv(1) == b"2"


def test_refusing_link_breaks_and_accepts_nothing(echo_link):
    """Guards against a refusing link that keeps its open connections."""
    site, near = echo_link
    address = near.getpeername()
    site.set_link("echo", "refuse")
    assert near.recv(1) == b""
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, 5)
