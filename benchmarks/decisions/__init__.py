"""Decisions under load, baseline and chosen side by side."""
