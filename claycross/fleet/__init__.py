"""Protocols between gateways: membership, leases, load gossip and load aggregation."""
