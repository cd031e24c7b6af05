"""The direct path: entries that call endpoints without a process between."""
