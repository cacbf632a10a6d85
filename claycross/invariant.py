"""What must hold is stated here and nowhere else: a debug build raises, a release build counts and logs.

Owns the counters of what did not hold. It must never end a release process or answer a request.
"""

from __future__ import annotations

import sys
from collections import Counter

broken: Counter[str] = Counter()


class Broken(AssertionError):
    """Something that must hold did not (debug builds only)."""


def invariant(holds: object, name: str, detail: str = "") -> bool:
    """True if it holds. Under -O a breach is counted, and its first ten and then every hundredth logged."""
    if holds:
        return True
    if __debug__:
        raise Broken(f"{name}: {detail}" if detail else name)
    broken[name] += 1
    if broken[name] <= 10 or broken[name] % 100 == 0:
        print(f"invariant name={name} count={broken[name]} {detail}".rstrip(), file=sys.stderr, flush=True)
    return False
