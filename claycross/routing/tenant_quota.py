"""Token buckets that mark the requests beyond their tenant's quota."""

from __future__ import annotations

from ..interface import Settings

SECOND = 1_000_000_000  # ns
QUOTA_BURST_S = 2.0  # capacity of a bucket, in seconds of the tenant's rate
MIN_QUOTA_BURST_REQUESTS = 2.0  # minimum capacity of a bucket


class TenantQuotas:
    """A token bucket for each tenant, with this gateway's share of the quota."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.buckets: dict[str, tuple[float, int]] = {}  # tenant -> level and its time

    def over_quota(self, tenant: str, now: int) -> bool:
        """Count a request; returns True if it exceeds the tenant's quota."""
        quota = self.settings.tenants.get(tenant)
        if quota is None or quota.quota_per_s <= 0:
            return False
        rate = quota.quota_per_s / self.settings.gateway_count
        capacity = max(QUOTA_BURST_S * rate, MIN_QUOTA_BURST_REQUESTS)
        level, filled_at = self.buckets.get(tenant, (capacity, now))
        level = min(capacity, level + rate * (now - filled_at) / SECOND)
        is_over = level < 1
        self.buckets[tenant] = (level if is_over else level - 1, now)
        return is_over
