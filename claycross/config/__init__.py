"""Reading and validation of settings and configuration files."""
