"""Settings of the daemon, read once from an INI file at its start."""
