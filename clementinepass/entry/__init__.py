"""The entry role: callers' HTTP, dispatch and relay."""
