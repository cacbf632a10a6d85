"""The endpoint list from discovery or etcd, its freshness, and the membership driver."""
