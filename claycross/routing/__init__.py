"""Routing decisions: engine selection, admission control, retries and outlier detection."""
