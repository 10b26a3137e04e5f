"""Runs a small site and sends requests through it."""

from __future__ import annotations

import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

from standins import site as sites  # noqa: E402


def main() -> int:
    """Return 0 if every answer was right."""
    right = True
    with tempfile.TemporaryDirectory() as folder:
        with sites.run_site(pathlib.Path(folder), vms=7) as site:
            sites.publish_samples(site)
            site.wait(lambda: site.count_owned() == 4)
            for model in ("trust-1@1", "trust-1@2", "trust-2"):
                sent_s = time.monotonic()
                answer = site.send(model)
                headers = {
                    name.decode().lower(): value.decode()
                    for name, value in answer.headers
                }
                right = right and answer.status == 200
                print(
                    model,
                    answer.status,
                    headers.get("bronzetrack-version"),
                    headers.get("bronzetrack-endpoint"),
                    headers.get("bronzetrack-vm"),
                    f"{time.monotonic() - sent_s:.3f} s",
                )
    return 0 if right else 1


if __name__ == "__main__":
    sys.exit(main())
