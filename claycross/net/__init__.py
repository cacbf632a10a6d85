"""Sockets, wires and time. Nothing in this package decides where a request goes or whether it is answered."""
