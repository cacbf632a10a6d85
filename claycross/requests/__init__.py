"""Life cycle of requests and attempts, their preconditions, and the release of reserved states."""
