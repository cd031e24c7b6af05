"""Tests of clementinepass.cli."""
