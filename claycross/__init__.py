"""A gateway for language-model services whose engines read prompts or write answers."""

from .routing.router import Router

__all__ = ["Router"]
