"""The program version."""

VERSION = "0.2.0"
