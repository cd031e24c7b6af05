"""Tests of the slots that agents offer."""
