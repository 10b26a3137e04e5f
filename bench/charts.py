"""Formats the results as a table and as a bar chart."""

from __future__ import annotations

from collections.abc import Iterator

from bench import measures

CHARTED_MEASURES = (
    "short_wait_p99_ms",
    "slowed_short_first_p99_ms",
    "crest_goodput_per_s",
    "stalls_per_1000",
    "share_error",
)
BAR_PX = 16
WIDTH_PX = 720
LABEL_PX = 330
COLOURS = ("#999999", "#c58a3a", "#b8b04a", "#6a8fb5", "#2f7d4f")

Results = dict[str, dict[str, dict[str, list[float]]]]


def make_table(results: Results) -> str:
    """Return a table of each measure by policy over the seeds.

    Each cell holds the median, the smallest and the largest value.
    """
    lines = []
    for workload, policies in results.items():
        lines.append(f"{workload}: median (smallest-largest) of the seeds")
        names = list(policies)
        lines.append(" " * 28 + "".join(f"{name:>24}" for name in names))
        for key in _list_keys(policies):
            cells = [_format(policies[name].get(key)) for name in names]
            lines.append(f"{key:28}" + "".join(f"{c:>24}" for c in cells))
        lines.append("")
    return "\n".join(lines)


def _list_keys(policies: dict[str, dict[str, list[float]]]) -> list[str]:
    keys: dict[str, None] = {}
    for figures in policies.values():
        keys.update(dict.fromkeys(figures))
    return list(keys)


def _format(values: list[float] | None) -> str:
    if values is None:
        return "-"
    median, low, high = measures.summarize(values)
    digits = 3 if high < 2 else 0 if high >= 100 else 1
    return f"{median:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"


def draw(results: Results) -> str:
    """Return an SVG chart with one group of bars for each measure."""
    body = list(_draw_bars(results))
    height = len(body) * BAR_PX + BAR_PX
    rows = "\n".join(
        row.replace("{y}", str(BAR_PX * (index + 1)))
        for index, row in enumerate(body)
    )
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" '
        f'height="{height}" font-family="sans-serif" font-size="11">\n'
        f"{rows}\n</svg>\n"
    )


def _draw_bars(results: Results) -> Iterator[str]:
    for workload, policies in results.items():
        for key in CHARTED_MEASURES:
            medians = {
                name: measures.summarize(figures[key])[0]
                for name, figures in policies.items()
                if key in figures
            }
            largest = max(medians.values(), default=0.0) or 1.0
            yield f'<text x="4" y="{{y}}">{workload}: {key}</text>'
            for name, value in medians.items():
                colour = COLOURS[list(policies).index(name)]
                width = (WIDTH_PX - LABEL_PX) * value / largest
                yield (
                    f'<g transform="translate(0,{{y}})">'
                    f'<text x="24">{name}: {value:.4g}</text>'
                    f'<rect x="{LABEL_PX - 40}" y="-10" height="11" '
                    f'width="{width:.1f}" fill="{colour}"/></g>'
                )
