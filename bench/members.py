"""Membership in virtual time: how soon the dead are known, who is wrongly taken for dead, what it
costs.

    .venv-dev/bin/python -m bench.members [--sizes 4 12 40 200] [--kills 20] [--minutes 10] [--loss
    0.2]

Prints the tables of docs/fleet.md. `--minutes 0` leaves out the long run under loss. Seeded: always
the same. On request only: a long run with 200 members takes some minutes.
"""

from __future__ import annotations

import argparse

from claycross.emulator.queueing_curve import quantile
from claycross.fleet.membership import DEAD, MS, SECOND, SUSPECT
from tests.fleet.simulated_network import SimulatedFleet

STEP = 20 * MS


def killed(size: int, kills: int) -> tuple[list[float], list[float]]:
    """Seconds from a kill until each of the others suspected it, and until each took it for
    gone.
    """
    suspected, gone = list[float](), list[float]()
    c = SimulatedFleet(size)
    c.run(SECOND)
    c.run_until(c.has_converged, 30 * SECOND, 200 * MS)
    for k in range(kills):
        n, at = k % size, c.now
        c.kill(n)
        first: dict[int, list[float]] = {m.gateway_number: [0.0, 0.0] for m in c.alive()}
        while not all(g for _, g in first.values()) and c.now - at < 60 * SECOND:
            c.run(STEP)
            for m in c.alive():
                state = m.members[n].state
                for place, least in ((0, SUSPECT), (1, DEAD)):
                    if state >= least and not first[m.gateway_number][place]:
                        first[m.gateway_number][place] = (c.now - at) / SECOND
        suspected += [s for s, _ in first.values()]
        gone += [g for _, g in first.values()]
        c.start(n)
        c.run_until(c.has_converged, 60 * SECOND, 500 * MS)
        c.run(3 * SECOND)
    return suspected, gone


def cost(size: int) -> tuple[float, float]:
    """Messages and bytes heard a second by each, at rest."""
    c = SimulatedFleet(size)
    c.run(60 * SECOND)
    messages, byte = c.delivered, c.bytes
    c.run(30 * SECOND)
    return (c.delivered - messages) / size / 30, (c.bytes - byte) / size / 30


def false(size: int, minutes: float, loss: float) -> tuple[int, int]:
    """Living members taken for gone (member, observer pairs), and suspicions refuted, under
    loss.
    """
    c = SimulatedFleet(size)
    c.run(SECOND)
    c.run_until(c.has_converged, 60 * SECOND, 500 * MS)
    c.loss, wrong = loss, set()
    for _ in range(int(minutes * 120)):
        c.run(500 * MS)
        wrong |= {
            (m.gateway_number, x.number, x.incarnation)
            for m in c.alive()
            for x in m.members
            if x.state == DEAD
        }
    return len(wrong), sum(m.counts["refuted"] for m in c.alive())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--sizes", type=int, nargs="+", default=[4, 12, 40, 200])
    parser.add_argument("--kills", type=int, default=20)
    parser.add_argument("--minutes", type=float, default=10)
    parser.add_argument("--loss", type=float, default=0.2)
    args = parser.parse_args()
    print(
        "| members | kills | suspected p50, p99 (s) | gone p50, p99 (s) | messages/s each | "
        "bytes/s each |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for size in args.sizes:
        (s, g), (messages, byte) = killed(size, args.kills), cost(size)
        print(
            f"| {size} | {args.kills} | {quantile(s, 0.5):.1f}, {quantile(s, 0.99):.1f} | "
            f"{quantile(g, 0.5):.1f}, {quantile(g, 0.99):.1f} | {messages:.2f} | {byte:.0f} |",
            flush=True,
        )
    if args.minutes:
        wrong, refuted = false(max(args.sizes), args.minutes, args.loss)
        print(
            f"\n{max(args.sizes)} members, {args.minutes:g} virtual minutes, {args.loss:.0%} lost: "
            f"{wrong} taken for gone that were not; {refuted} suspicions refuted"
        )


if __name__ == "__main__":
    main()
