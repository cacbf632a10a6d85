"""An emulator of engines: a model in virtual time, and servers that make it reachable over HTTP.

Gateways do not use it.
"""
