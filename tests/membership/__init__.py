"""Tests of the membership view and of ranking entries."""
