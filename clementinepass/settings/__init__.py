"""Settings of the daemon, read from an INI file when it starts."""
