"""Tests of clementinepass.settings."""
