"""The event loop, TCP and UDP sockets, and wire protocols as state machines that are fed bytes.

Nothing in this package decides where a request goes or whether it is answered.
"""
