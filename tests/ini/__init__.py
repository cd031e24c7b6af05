"""Tests of clementinepass.ini."""
