"""Tests of clementinepass.wire."""
