"""Tests of the membership view and of the ranking of entries."""
