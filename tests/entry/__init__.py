"""Tests of clementinepass.entry."""
