"""Decisions under load, pure: no sockets, tasks or clocks."""
