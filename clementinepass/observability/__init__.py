"""Logs, metrics and health."""
