#!/usr/bin/env python3
"""Plays days of a deployment with one or two builds and compares them.

    paired_days.py --bench PROGRAM --site FILE --seeds 101-105 --out DIR A [B]

A and B are checkouts of this repository. Each day is played with each seed in
each checkout; the reports are kept in DIR and are not played again. With two
checkouts the same day and seed make a pair, and the difference B - A is
printed with its 95 % confidence interval (Student's t over the pairs). A
difference whose interval holds 0 is no difference.
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
# A day of a large site takes some minutes of processor time.
DAY_TIMEOUT_S = 1500


def parse_seeds(text):
    """'101-103,200' as [101, 102, 103, 200]."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def half_interval(values):
    """Half the width of the 95 % confidence interval of the mean."""
    if len(values) < 2:
        return math.nan
    freedom = len(values) - 1
    quantile = T_QUANTILES[freedom - 1] if freedom <= 30 else NORMAL_QUANTILE
    return quantile * statistics.stdev(values) / math.sqrt(len(values))


def play(args, checkout, day, seed):
    """The report of one day, played now unless it is kept from before."""
    kept = args.out / checkout.name / f"{args.site.stem}-{day}-{seed}.json"
    if not kept.exists():
        kept.parent.mkdir(parents=True, exist_ok=True)
        command = [args.bench, "run", args.site, day, "--seed", str(seed),
                   "--report", kept, "--why", args.why]
        if args.no_cpu:
            command.append("--no-cpu")
        done = subprocess.run(command, cwd=checkout, capture_output=True,
                              text=True, timeout=DAY_TIMEOUT_S)
        kept.with_suffix(".log").write_text(done.stdout + done.stderr)
        if not kept.exists():
            sys.exit(f"no report of {day} {seed}: see "
                     f"{kept.with_suffix('.log')}")
    return json.loads(kept.read_text())


def losses(report):
    """What is missing to a worth of 1, by cause."""
    rows = {f"not served in time: {name}": weight * (1 - share)
            for name, weight, share in report["parts"]}
    rows.update({name: price for name, _, price in report["prices"]
                 if price > 0})
    return rows


def print_losses(reports, most):
    total = {}
    for report in reports:
        for name, loss in losses(report).items():
            total[name] = total.get(name, 0) + loss / len(reports)
    rows = sorted(total.items(), key=lambda row: -row[1])[:most]
    print("  losses: " + "; ".join(f"{n} {v:.3f}" for n, v in rows))


def print_row(name, columns):
    cells = []
    for values in columns:
        spread = statistics.stdev(values) if len(values) > 1 else math.nan
        cells.append(f"{statistics.mean(values):7.3f} ({spread:5.3f})")
    if len(columns) == 2:
        differences = [b - a for a, b in zip(*columns)]
        half = half_interval(differences)
        cells.append(f"{statistics.mean(differences):+7.3f} +- {half:5.3f}")
    print(f"{name:28s}" + "  ".join(cells), flush=True)


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--bench", type=pathlib.Path, required=True,
                        help="the program that plays days")
    parser.add_argument("--site", type=pathlib.Path, required=True,
                        help="file of a deployment")
    parser.add_argument("--days", default=STANDARD_DAYS,
                        help=f"names, with commas (default {STANDARD_DAYS})")
    parser.add_argument("--seeds", type=parse_seeds, required=True,
                        help="such as 101-105 or 7,9")
    parser.add_argument("--jobs", type=int, default=4,
                        help="days at the same time (default 4)")
    parser.add_argument("--out", type=pathlib.Path, required=True,
                        help="folder of the reports")
    parser.add_argument("--why", default="paired days",
                        help="line for the journal")
    parser.add_argument("--no-cpu", action="store_true",
                        help="processor time is not counted")
    parser.add_argument("--losses", type=int, default=3,
                        help="causes of loss to print (default 3)")
    parser.add_argument("checkouts", nargs="+", type=pathlib.Path,
                        help="one or two checkouts")
    args = parser.parse_args()
    if len(args.checkouts) > 2:
        parser.error(f"{len(args.checkouts)} checkouts; one or two are allowed")
    args.bench = args.bench.resolve()
    args.site = args.site.resolve()
    args.out = args.out.resolve()
    checkouts = [checkout.resolve() for checkout in args.checkouts]
    days = args.days.split(",")

    for checkout in checkouts:
        subprocess.run([args.bench, "build"], cwd=checkout, check=True,
                       stdout=subprocess.DEVNULL)
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        # Pairs are neighbours, so that both run while the machine is alike.
        plays = {(checkout, day, seed): pool.submit(play, args, checkout, day,
                                                    seed)
                 for day in days for seed in args.seeds
                 for checkout in checkouts}
        reports = {key: future.result() for key, future in plays.items()}

    def worths(checkout, some_days):
        return [reports[checkout, day, seed]["G"]
                for day in some_days for seed in args.seeds]

    print(f"{args.site.stem}: worth, mean (spread)"
          + ("  and B - A" if len(checkouts) == 2 else ""))
    for day in days:
        print_row(day, [worths(checkout, [day]) for checkout in checkouts])
        print_losses([reports[checkouts[-1], day, seed]
                      for seed in args.seeds], args.losses)
    print_row("all days", [worths(checkout, days) for checkout in checkouts])
    trouble = [day for day in days if not day.startswith("quiet")]
    print_row("days with trouble",
              [worths(checkout, trouble) for checkout in checkouts])
    for (checkout, day, seed), report in reports.items():
        if report["breaks"] or report["fault"]:
            print(f"broken: {checkout.name} {day} {seed}: "
                  f"{report['breaks']} {report['fault'] or ''}")


if __name__ == "__main__":
    main()
