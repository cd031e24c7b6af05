"""Slots of engines that agents offer to requests that wait at entries."""
