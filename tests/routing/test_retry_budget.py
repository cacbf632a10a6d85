"""The retry budget, which limits retries to a share of the requests."""

from claycross.routing.retry_budget import MAX_SAVED_RETRIES, RETRIES_PER_REQUEST, RetryBudget


def spend_all(budget: RetryBudget) -> int:
    """Spend until the budget is empty; returns how many retries it held."""
    spent = 0
    while budget.try_spend():
        spent += 1
    return spent


def test_it_starts_half_full():
    assert spend_all(RetryBudget()) == MAX_SAVED_RETRIES / 2


def test_requests_fill_it_up_to_its_limit():
    budget = RetryBudget()
    for _ in range(1000):
        budget.record_request()
    assert spend_all(budget) == MAX_SAVED_RETRIES


def test_retries_are_a_share_of_the_requests():
    budget = RetryBudget()
    spend_all(budget)
    requests = 400
    retries = 0
    for _ in range(requests):
        budget.record_request()
        retries += budget.try_spend()
    assert retries == requests * RETRIES_PER_REQUEST
