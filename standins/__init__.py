"""Our own stand-ins for what surrounds the gateway, for tests and tools: engines, discovery,
clients.
"""
