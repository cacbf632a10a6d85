"""A retry budget, which keeps retries from multiplying the load when many attempts fail."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.25  # added to the budget by each new request
MAX_SAVED_RETRIES = 12.0  # capacity of the budget, which starts half full


class RetryBudget:
    """A token bucket that is filled by requests and emptied by retries."""

    def __init__(self) -> None:
        self.available = MAX_SAVED_RETRIES / 2

    def record_request(self) -> None:
        """Add the share of one new request to the budget."""
        self.available = min(MAX_SAVED_RETRIES, self.available + RETRIES_PER_REQUEST)

    def try_spend(self) -> bool:
        """Take one retry from the budget; returns False if there is none left."""
        if self.available < 1:
            return False
        self.available -= 1
        return True
