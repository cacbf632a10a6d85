"""Units of time and the identity of the machine's monotonic clock."""

from __future__ import annotations

MS = 1_000_000  # nanoseconds in a millisecond
SECOND = 1_000_000_000  # nanoseconds in a second
CLOCK_OFFSET_NS = 10**18  # added to the monotonic clock, so that 0 is always in the distant past
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


def monotonic_clock_id() -> str:
    """Return the boot id of the machine, which identifies its monotonic clock.

    Two processes with the same id read the same clock. Empty if the system provides no boot id.
    """
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError):
        return ""
