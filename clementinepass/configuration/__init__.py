"""Operators' configuration: files, checks, publications, fold and snapshots."""
