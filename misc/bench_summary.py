"""Summarises repeated benchmark runs as lines `name value unit`: median, spread and ratio to the baseline."""

import csv
import statistics
import sys

# Names of the present code and of the baseline that it is compared with in the same run.
BASELINES = {"place": "first_fit", "no_room": "first_fit", "cancel": "list"}


def read_decisions(path):
    samples = {}
    with open(path, encoding="utf-8") as text:
        lines = [line for line in text if line.startswith(("name,", '"'))]
    for row in csv.DictReader(lines):
        if row["error_occurred"] == "true":
            sys.exit(f'{row["name"]}: {row["error_message"]}')
        parts = row["name"].split("/")
        if row["name"].endswith(("_mean", "_median", "_stddev", "_cv")):
            continue
        name = "/".join(parts[:2] + ["workers_" + parts[2]])
        samples.setdefault((name, "us_cpu"), []).append(float(row["cpu_time"]))
    return samples


def read_load(paths):
    samples = {}
    for path in paths:
        with open(path, encoding="utf-8") as text:
            for line in text:
                name, value, unit = line.split()
                samples.setdefault((name, unit), []).append(float(value))
    return samples


def baseline_of(name):
    measure, _, rest = name.partition("/")
    if not rest.startswith("own"):
        return None
    return f"{measure}/{BASELINES.get(measure, 'first_fit')}{rest[len('own'):]}"


def main():
    samples = read_decisions(sys.argv[1]) | read_load(sys.argv[2:])
    medians = {name: statistics.median(values) for (name, _), values in samples.items()}
    for (name, unit), values in samples.items():
        median = medians[name]
        print(f"{name} {median:.6g} {unit}")
        if median > 0 and len(values) > 1:
            print(f"{name}.spread {50 * (max(values) - min(values)) / median:.1f} percent")
        baseline = medians.get(baseline_of(name), 0)
        if baseline > 0:
            print(f"{name}.ratio {median / baseline:.4g} of_baseline")


main()
