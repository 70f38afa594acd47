#!/usr/bin/env python3
"""Runs simulated days of a deployment with one or two builds and compares them.

    paired_days.py --bench PROGRAM --site FILE --seeds 101-105 --out DIR A [B]

A and B are checkouts of this repository. Each day is run with each seed in each
checkout. The reports are stored in DIR and reused by later runs. With two
checkouts, the same day and seed form a pair, and the difference B - A is printed
with its 95 % confidence interval (Student's t over the pairs). A difference
whose interval contains 0 is not significant.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import statistics
import subprocess
import sys

STANDARD_DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"
# 97.5 % quantiles of Student's t for 1 to 30 degrees of freedom.
T_QUANTILES = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
    2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
]
NORMAL_QUANTILE = 1.96
# A day of a large deployment takes several minutes of processor time.
DAY_TIMEOUT_S = 1500


def parse_seeds(text):
    """Parses '101-103,200' into [101, 102, 103, 200]."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def confidence_half_width(values):
    """Returns half the width of the 95 % confidence interval of the mean.

    NaN if there are fewer than two values.
    """
    if len(values) < 2:
        return math.nan
    degrees_of_freedom = len(values) - 1
    quantile = (T_QUANTILES[degrees_of_freedom - 1]
                if degrees_of_freedom <= 30 else NORMAL_QUANTILE)
    return quantile * statistics.stdev(values) / math.sqrt(len(values))


def run_day(args, checkout, day, seed):
    """Returns the report of one day; runs the day unless a report is stored.

    Ends the program if the run wrote no report.
    """
    report_path = (args.out / checkout.name
                   / f"{args.site.stem}-{day}-{seed}.json")
    if not report_path.exists():
        report_path.parent.mkdir(parents=True, exist_ok=True)
        command = [args.bench, "run", args.site, day, "--seed", str(seed),
                   "--report", report_path, "--why", args.why]
        if args.no_cpu:
            command.append("--no-cpu")
        result = subprocess.run(command, cwd=checkout, capture_output=True,
                                text=True, timeout=DAY_TIMEOUT_S)
        report_path.with_suffix(".log").write_text(
            result.stdout + result.stderr)
        if not report_path.exists():
            sys.exit(f"{day}, seed {seed}: no report was written; see "
                     f"{report_path.with_suffix('.log')}")
    return json.loads(report_path.read_text())


def losses(report):
    """Returns the difference between a worth of 1 and the worth of the day, by cause."""
    rows = {f"not served in time: {name}": weight * (1 - share)
            for name, weight, share in report["parts"]}
    rows.update({name: price for name, _, price in report["prices"]
                 if price > 0})
    return rows


def print_losses(reports, max_rows):
    total = {}
    for report in reports:
        for name, loss in losses(report).items():
            total[name] = total.get(name, 0) + loss / len(reports)
    rows = sorted(total.items(), key=lambda row: -row[1])[:max_rows]
    print("  losses: " + "; ".join(f"{n} {v:.3f}" for n, v in rows))


def print_row(name, columns):
    cells = []
    for values in columns:
        deviation = statistics.stdev(values) if len(values) > 1 else math.nan
        cells.append(f"{statistics.mean(values):7.3f} ({deviation:5.3f})")
    if len(columns) == 2:
        differences = [b - a for a, b in zip(*columns)]
        half = confidence_half_width(differences)
        cells.append(f"{statistics.mean(differences):+7.3f} +- {half:5.3f}")
    print(f"{name:28s}" + "  ".join(cells), flush=True)


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--bench", type=pathlib.Path, required=True,
                        help="program that runs a simulated day")
    parser.add_argument("--site", type=pathlib.Path, required=True,
                        help="deployment file")
    parser.add_argument("--days", default=STANDARD_DAYS,
                        help=f"comma-separated names (default {STANDARD_DAYS})")
    parser.add_argument("--seeds", type=parse_seeds, required=True,
                        help="seeds, for example 101-105 or 7,9")
    parser.add_argument("--jobs", type=int, default=4,
                        help="days to run in parallel (default 4)")
    parser.add_argument("--out", type=pathlib.Path, required=True,
                        help="directory for the reports")
    parser.add_argument("--why", default="paired days",
                        help="reason to record in the journal")
    parser.add_argument("--no-cpu", action="store_true",
                        help="exclude processor time from the worth")
    parser.add_argument("--losses", type=int, default=3,
                        help="number of causes of loss to print (default 3)")
    parser.add_argument("checkouts", nargs="+", type=pathlib.Path,
                        help="one or two checkouts")
    args = parser.parse_args()
    if len(args.checkouts) > 2:
        parser.error(
            f"{len(args.checkouts)} checkouts given; expected one or two")
    args.bench = args.bench.resolve()
    args.site = args.site.resolve()
    args.out = args.out.resolve()
    checkouts = [checkout.resolve() for checkout in args.checkouts]
    days = args.days.split(",")

    for checkout in checkouts:
        subprocess.run([args.bench, "build"], cwd=checkout, check=True,
                       stdout=subprocess.DEVNULL)
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        # The two runs of a pair are submitted one after the other, so that the
        # load of the machine is similar for both.
        futures = {(checkout, day, seed): pool.submit(run_day, args, checkout,
                                                      day, seed)
                   for day in days for seed in args.seeds
                   for checkout in checkouts}
        reports = {key: future.result() for key, future in futures.items()}

    def worths(checkout, selected_days):
        return [reports[checkout, day, seed]["G"]
                for day in selected_days for seed in args.seeds]

    print(f"{args.site.stem}: worth, mean (standard deviation)"
          + ("  and B - A" if len(checkouts) == 2 else ""))
    for day in days:
        print_row(day, [worths(checkout, [day]) for checkout in checkouts])
        print_losses([reports[checkouts[-1], day, seed]
                      for seed in args.seeds], args.losses)
    print_row("all days", [worths(checkout, days) for checkout in checkouts])
    fault_days = [day for day in days if not day.startswith("quiet")]
    print_row("days with faults",
              [worths(checkout, fault_days) for checkout in checkouts])
    for (checkout, day, seed), report in reports.items():
        if report["breaks"] or report["fault"]:
            print(f"failed: {checkout.name} {day}, seed {seed}: "
                  f"{report['breaks']} {report['fault'] or ''}")


if __name__ == "__main__":
    main()
