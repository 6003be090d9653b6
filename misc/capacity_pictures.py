"""Draws docs/waiting_time.svg and docs/control_cost.svg from bench/results.txt."""

import os

from capacity import BYTES_LIMIT, ROOT, WORKERS, Model, read_results

WIDTH, HEIGHT, LEFT, TOP, RIGHT, BOTTOM = 640, 360, 70, 40, 170, 50
COLOURS = ["#1b6ca8", "#c0392b", "#2e7d32", "#8e44ad"]


def draw(name, title, x_name, y_name, series, limit=None):
    """`series`: name to points. Both axes are linear and begin at 0."""
    points = [point for line in series.values() for point in line]
    x_max = max(x for x, _ in points)
    y_max = 1.05 * max([y for _, y in points] + ([limit] if limit else []))

    def place(x, y):
        return (LEFT + x / x_max * (WIDTH - LEFT - RIGHT), HEIGHT - BOTTOM - y / y_max * (HEIGHT - TOP - BOTTOM))
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif" '
             'font-size="12">', '<rect width="100%" height="100%" fill="white"/>',
             f'<text x="{LEFT}" y="20" font-size="14">{title}</text>']
    for step in range(5):
        x, y = x_max * step / 4, y_max * step / 4
        column, row = place(x, y)
        parts.append(f'<line x1="{LEFT}" y1="{row:.0f}" x2="{WIDTH - RIGHT}" y2="{row:.0f}" stroke="#ddd"/>')
        parts.append(f'<text x="{LEFT - 6}" y="{row + 4:.0f}" text-anchor="end">{y:,.0f}</text>')
        parts.append(f'<text x="{column:.0f}" y="{HEIGHT - BOTTOM + 18}" text-anchor="middle">{x:g}</text>')
    parts.append(f'<text x="{(LEFT + WIDTH - RIGHT) / 2:.0f}" y="{HEIGHT - 10}" text-anchor="middle">{x_name}</text>')
    parts.append(f'<text x="{LEFT}" y="34" fill="#555">{y_name}</text>')
    if limit:
        _, row = place(0, limit)
        parts.append(f'<line x1="{LEFT}" y1="{row:.0f}" x2="{WIDTH - RIGHT}" y2="{row:.0f}" stroke="black" '
                     'stroke-dasharray="5 4"/>')
        parts.append(f'<text x="{WIDTH - RIGHT + 8}" y="{row + 4:.0f}">limit</text>')
    for index, (label, line) in enumerate(series.items()):
        colour = COLOURS[index % len(COLOURS)]
        path = " ".join("{:.1f},{:.1f}".format(*place(x, y)) for x, y in line)
        parts.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="2"/>')
        parts += ['<circle cx="{:.1f}" cy="{:.1f}" r="3" fill="{}"/>'.format(*place(x, y), colour) for x, y in line]
        parts.append(f'<text x="{WIDTH - RIGHT + 8}" y="{TOP + 20 + 18 * index}" fill="{colour}">{label}</text>')
    with open(os.path.join(ROOT, "docs", name), "w", encoding="utf-8") as file:
        file.write("\n".join([*parts, "</svg>", ""]))


def main():
    values, _ = read_results()
    loads = (0.5, 1, 2)
    draw("waiting_time.svg", "Waiting time of urgent work, 99.9th percentile (measured)", "load, times the capacity",
         "ms", {name: [(load, values[f"wait_urgent_p999/{key}/load_{load}"]) for load in loads]
                for name, key in (("wigeonkeel", "own"), ("first fit, FIFO", "first_fit"))}, 1900)
    model = Model(values)
    sizes = (50, 75, 100, 150, 200, 300, 400, 610)
    workers = {f"{daemons} daemons": [(WORKERS / daemons, model.idle_bytes(daemons))] for daemons in sizes}
    draw("control_cost.svg", f"Bytes sent a second and daemon without work, {WORKERS} workers (worked out)", "daemons",
         "bytes a second", {
             "today's intervals": [(int(name.split()[0]), line[0][1]) for name, line in workers.items()],
             "of it to peers": [(daemons, model.peers(daemons)) for daemons in sizes],
             "of it to workers": [(daemons, model.workers(daemons, 1.0)) for daemons in sizes]}, BYTES_LIMIT)


if __name__ == "__main__":
    main()
