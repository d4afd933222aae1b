"""Renders the burn report as one HTML page with plots."""

import base64
import html
import io
from pathlib import Path

from .burn import WINDOWS_S, BurnReport, BurnRow

MAX_BARS = 12
FIGURE_SIZE_INCHES = (8.0, 4.0)
DOTS_PER_INCH = 100
STYLE = """
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; }
td, th { padding: 0.2em 0.8em; border-bottom: 1px solid #ccc; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.burning { background: #fdd; }
"""


def write_burn_page(report: BurnReport, path: Path) -> None:
    """Write the report as an HTML page to a file.

    Raises:
        OSError: The file cannot be written.
    """
    path.write_text(render_burn_page(report), encoding="utf-8")


def render_burn_page(report: BurnReport) -> str:
    """Return the report as HTML with the plots embedded as data URLs."""
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>Service-level burn</title><style>{STYLE}</style></head><body>",
        "<h1>Service-level burn</h1>",
        "<p>A burn rate of 1 spends exactly the error budget. Requests refused because "
        "a client account exceeded its rate do not count.</p>",
    ]
    for window in WINDOWS_S:
        rows = [row for row in report.rows if row.window == window]
        if rows:
            parts.append(f"<h2>Last {window}</h2>")
            parts.append(_plot(rows, window))
            parts.append(_table(rows))
    if report.missing:
        parts.append("<h2>What is missing</h2><ul>")
        parts += [f"<li>{html.escape(text)}</li>" for text in report.missing]
        parts.append("</ul>")
    parts.append("</body></html>")
    return "\n".join(parts)


def _label(row: BurnRow) -> str:
    return f"{row.route} / {row.account or '(open)'}"


def _plot(rows: list[BurnRow], window: str) -> str:
    # Imported here: the library is large, and few commands draw plots.
    from matplotlib.figure import Figure

    shown = rows[:MAX_BARS][::-1]
    figure = Figure(figsize=FIGURE_SIZE_INCHES, dpi=DOTS_PER_INCH, layout="constrained")
    axes = figure.subplots()
    colours = ["#c33" if row.burn_rate > 1 else "#37a" for row in shown]
    axes.barh(
        [_label(row) for row in shown], [r.burn_rate for r in shown], color=colours
    )
    axes.axvline(1.0, color="#333", linestyle="--", linewidth=1)
    axes.set_xlabel(f"burn rate over {window}")
    axes.set_xlim(left=0)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f"<img alt='burn rate by route' src='data:image/png;base64,{encoded}'>"


def _table(rows: list[BurnRow]) -> str:
    head = "".join(
        f"<th>{name}</th>"
        for name in ("route / account", "requests", "bad", "over rate", "burn rate")
    )
    lines = [f"<table><tr>{head}</tr>"]
    for row in rows:
        cells = [
            html.escape(_label(row)),
            str(row.n_requests),
            str(row.n_bad),
            str(row.n_over_rate),
            f"{row.burn_rate:.2f}",
        ]
        kind = " class='burning'" if row.burn_rate > 1 else ""
        body = "".join(f"<td>{cell}</td>" for cell in cells)
        lines.append(f"<tr{kind}>{body}</tr>")
    lines.append("</table>")
    return "\n".join(lines)
