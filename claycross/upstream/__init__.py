"""Clients for requests to engines, one for each protocol, and their connections."""
