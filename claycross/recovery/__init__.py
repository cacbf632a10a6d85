"""State that persists across processes, administrative ejections, and graceful shutdown.

The state consists of the operators' ejections and drain and of a warm-start snapshot.
"""
