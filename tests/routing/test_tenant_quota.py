"""Tenant quotas: token buckets with this gateway's share of a tenant's rate."""

from claycross.interface import TenantQuota
from claycross.routing.tenant_quota import MIN_QUOTA_BURST_REQUESTS, TenantQuotas
from tests.routing.router_harness import SECOND, settings

NOW = 100 * SECOND


def quotas(rate: float, gateways: int) -> TenantQuotas:
    tenants = {"tenant": TenantQuota("tenant", rate)}
    return TenantQuotas(settings(tenants=tenants, gateway_count=gateways))


def test_a_tenant_without_a_quota_is_never_over_it():
    limited = quotas(rate=1.0, gateways=1)
    unlimited = quotas(rate=0.0, gateways=1)
    assert not any(limited.over_quota("other", NOW) for _ in range(100))
    assert not any(unlimited.over_quota("tenant", NOW) for _ in range(100))


def test_a_burst_and_then_the_gateways_share_of_the_rate_is_within_the_quota():
    limited = quotas(rate=8.0, gateways=2)
    at_once = sum(not limited.over_quota("tenant", NOW) for _ in range(100))
    assert at_once == 8  # a burst of two seconds at four requests a second
    later = sum(not limited.over_quota("tenant", NOW + SECOND) for _ in range(100))
    assert later == 4


def test_a_small_share_of_a_quota_still_allows_a_small_burst():
    limited = quotas(rate=1.0, gateways=100)
    assert sum(not limited.over_quota("tenant", NOW) for _ in range(9)) == MIN_QUOTA_BURST_REQUESTS
